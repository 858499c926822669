#include <godwit/entry/table_history.hpp>

#include <godwit/delta/content_digest.hpp>
#include <godwit/delta/text_patch.hpp>

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace godwit::entry {

namespace {

// More than any table; a neighbour's claim beyond it sets no memory aside.
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
    const std::string former_base = digest_;
    const std::string former = std::move(text_);
    std::string digest = delta::content_digest(text);
    replace(version, std::move(text), std::move(digest));
    if (former_base.empty())
        return;
    auto step = make_step(former, text_, version, digest_);
    if (step)
        add(former_base, std::move(*step));
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

// Steps that together are as large as the table are of no use.
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
            "the changes begin at a table that is not in force here",
            "ask again");
    if (changes.steps.empty())
        return core::fail(
            core::error_kind::protocol,
            "the changes have no step",
            "ask for the whole table");
    std::string made = changes.base.empty() ? std::string() : text_;
    for (const wire::table_step& step : changes.steps)
        made = GODWIT_TRY(delta::apply_patch(
            made, {step.made_bytes, step.compressed}, max_text_bytes));
    if (delta::content_digest(made) != changes.steps.back().made)
        return core::fail(
            core::error_kind::protocol,
            "the changes lead to another table than they say",
            "ask for the whole table");
    return made;
}

core::result<wire::table_changes>
table_history::changes_from(const std::string& base)
{
    if (digest_.empty())
        return core::fail(
            core::error_kind::exhausted, "no table is in force", "ask later");
    wire::table_changes made;
    const auto first = std::find_if(
        steps_.begin(), steps_.end(), [&base](const stored_step& each) {
            return each.base == base;
        });
    if (!base.empty() && first != steps_.end()) {
        made.base = base;
        std::transform(
            first,
            steps_.end(),
            std::back_inserter(made.steps),
            [](const stored_step& each) { return each.step; });
        return made;
    }
    if (!full_step_)
        full_step_ = GODWIT_TRY(make_step("", text_, version_, digest_));
    made.steps.push_back(*full_step_);
    return made;
}

} // namespace godwit::entry
