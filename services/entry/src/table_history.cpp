#include <godwit/entry/table_history.hpp>

#include <godwit/delta/content_digest.hpp>
#include <godwit/delta/text_patch.hpp>

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace godwit::entry {

namespace {

// Larger than any table. A neighbour's claim of a larger size allocates no
// memory.
constexpr std::size_t max_text_bytes = std::size_t{64} * 1024 * 1024;

core::result<wire::table_step> make_step(
    std::string_view base,
    std::string_view text,
    std::uint64_t version,
    const std::string& digest)
{
    auto patch = GODWIT_TRY(delta::make_patch(base, text));
    return wire::table_step{
        version, digest, patch.made_bytes, std::move(patch.compressed)};
}

} // namespace

void table_history::set_full(std::uint64_t version, std::string text)
{
    const std::string previous_digest = digest_;
    const std::string previous_text = std::move(text_);
    std::string digest = delta::content_digest(text);
    replace(version, std::move(text), std::move(digest));
    if (previous_digest.empty())
        return;
    auto step = make_step(previous_text, text_, version, digest_);
    if (step)
        add(previous_digest, std::move(*step));
    else
        steps_.clear();
}

void table_history::set_from_changes(
    std::string text, const wire::table_changes& changes)
{
    const wire::table_step& last = changes.steps.back();
    if (changes.base.empty()) {
        set_full(last.version, std::move(text));
        return;
    }
    replace(last.version, std::move(text), last.made);
    std::string at = changes.base;
    for (const wire::table_step& step : changes.steps)
        add(std::exchange(at, step.made), step);
}

void table_history::replace(
    std::uint64_t version, std::string text, std::string digest)
{
    version_ = version;
    text_ = std::move(text);
    digest_ = std::move(digest);
    full_step_.reset();
}

// Drops the oldest steps while there are more than `max_steps`, or while all
// steps together exceed the size of the table: sending the full table is then
// cheaper.
void table_history::add(std::string base, wire::table_step step)
{
    steps_.push_back({std::move(base), std::move(step)});
    const auto bytes = [this] {
        return std::accumulate(
            steps_.begin(),
            steps_.end(),
            std::size_t{0},
            [](std::size_t sum, const stored_step& each) {
                return sum + each.step.compressed.size();
            });
    };
    while (steps_.size() > max_steps ||
           (steps_.size() > 1 && bytes() > text_.size()))
        steps_.pop_front();
}

core::result<std::string>
table_history::apply(const wire::table_changes& changes) const
{
    if (!changes.base.empty() && changes.base != digest_)
        return core::fail(
            core::error_kind::expired,
            "the table changes apply to a table that is not active here",
            "request the changes again");
    if (changes.steps.empty())
        return core::fail(
            core::error_kind::protocol,
            "the table changes have no steps",
            "request the full table");
    std::string result = changes.base.empty() ? std::string() : text_;
    for (const wire::table_step& step : changes.steps)
        result = GODWIT_TRY(delta::apply_patch(
            result, {step.made_bytes, step.compressed}, max_text_bytes));
    if (delta::content_digest(result) != changes.steps.back().made)
        return core::fail(
            core::error_kind::protocol,
            "the table changes result in another digest than they state",
            "request the full table");
    return result;
}

core::result<wire::table_changes>
table_history::changes_from(const std::string& base)
{
    if (digest_.empty())
        return core::fail(
            core::error_kind::exhausted,
            "no route table is active",
            "retry later");
    wire::table_changes changes;
    const auto first = std::find_if(
        steps_.begin(), steps_.end(), [&base](const stored_step& each) {
            return each.base == base;
        });
    if (!base.empty() && first != steps_.end()) {
        changes.base = base;
        std::transform(
            first,
            steps_.end(),
            std::back_inserter(changes.steps),
            [](const stored_step& each) { return each.step; });
        return changes;
    }
    if (!full_step_)
        full_step_ = GODWIT_TRY(make_step("", text_, version_, digest_));
    changes.steps.push_back(*full_step_);
    return changes;
}

} // namespace godwit::entry
