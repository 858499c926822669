#include <godwit/entry/table_inquiry.hpp>

#include <godwit/core/hash.hpp>

#include <algorithm>
#include <tuple>

namespace godwit::entry {

namespace {

// The limit doubles up to eight times the first one.
constexpr unsigned most_doublings = 3;

core::duration limit_of(unsigned questions_before)
{
    return table_inquiry::answer_limit *
           (1U << std::min(questions_before, most_doublings));
}

} // namespace

void table_inquiry::announced(
    const core::host_name& neighbour,
    std::uint64_t version,
    core::time_point now)
{
    if (version <= version_)
        return;
    const auto [known, is_new] =
        announced_.try_emplace(neighbour, announcement{version, now});
    if (is_new || known->second.version >= version)
        return;
    known->second.version = version;
    known->second.heard_at = now;
}

void table_inquiry::in_force(std::uint64_t version)
{
    version_ = version;
    std::erase_if(announced_, [version](const auto& each) {
        return each.second.version <= version;
    });
    for (auto& [neighbour, said] : announced_)
        said.questions = 0;
    asked_.reset();
    ask_again_at_ = {};
    questions_in_a_row_ = 0;
    asks_whole_ = false;
}

// A neighbour whose table cannot be read here would otherwise be asked again
// as fast as it answers.
void table_inquiry::answered(
    const core::host_name& neighbour, core::time_point now)
{
    if (asked_ != neighbour)
        return;
    asked_.reset();
    ask_again_at_ = std::min(ask_again_at_, now + patience);
}

void table_inquiry::lost(const core::host_name& neighbour)
{
    announced_.erase(neighbour);
    if (asked_ != neighbour)
        return;
    asked_.reset();
    ask_again_at_ = {};
}

bool table_inquiry::is_patient(core::time_point now) const
{
    return std::none_of(
        announced_.begin(), announced_.end(), [now](const auto& each) {
            return now - each.second.heard_at >= patience;
        });
}

// The newest version, of those who were asked the least. Each host begins at
// another neighbour: all of them hear the first one at the same moment, and
// its link would be the next to be full.
table_inquiry::announcements::iterator table_inquiry::choose()
{
    const auto rank = [this](const announcements::value_type& each) {
        return std::tuple(
            -static_cast<std::int64_t>(each.second.questions),
            each.second.version,
            core::rendezvous_weight(self_.value(), each.first.value()));
    };
    return std::max_element(
        announced_.begin(),
        announced_.end(),
        [&rank](const auto& left, const auto& right) {
            return rank(left) < rank(right);
        });
}

std::optional<table_question> table_inquiry::next(core::time_point now)
{
    if (announced_.empty() || now < ask_again_at_ || is_patient(now))
        return std::nullopt;
    const auto chosen = choose();
    ++chosen->second.questions;
    asked_ = chosen->first;
    ask_again_at_ = now + limit_of(questions_in_a_row_);
    ++questions_in_a_row_;
    return table_question{chosen->first, chosen->second.version, asks_whole_};
}

} // namespace godwit::entry
