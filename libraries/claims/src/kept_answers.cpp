#include <godwit/claims/kept_answers.hpp>

#include <algorithm>
#include <utility>

namespace godwit::claims {

core::result<kept_answers> kept_answers::create(kept_answers_settings settings)
{
    if (settings.answer_limit == 0 || settings.byte_limit == 0 ||
        settings.run_limit == 0 || settings.lifetime <= core::duration(0))
        return core::fail(
            core::error_kind::invalid_input,
            "a bound of the kept answers is zero",
            "set answer_limit, byte_limit, run_limit and lifetime above zero");
    return kept_answers(settings);
}

core::result<void> kept_answers::begin(
    const claim_key& key,
    const request_fingerprint& request,
    claim_position position,
    const core::request_id& run_id)
{
    if (runs_ == settings_.run_limit)
        return core::fail(
            core::error_kind::exhausted,
            "too many requests that may not be repeated run at this proxy",
            "release the claim and answer not_run with Retry-After");
    const auto known = entries_.find(key);
    if (known != entries_.end() &&
        (!known->second.answer || known->second.position >= position))
        return core::fail(
            core::error_kind::conflict,
            "the request already runs or ran at this proxy",
            "attach to the run instead of starting another");
    if (known != entries_.end()) {
        // The earlier run is older than the retention; the log gave the key
        // to a new claim.
        bytes_ -= known->second.answer->size();
        by_age_.remove_if(
            [&key](const dated_key& dated) { return dated.key == key; });
        entries_.erase(known);
    }
    entries_.emplace(key, run{request, position, run_id, nullptr});
    ++runs_;
    return {};
}

void kept_answers::abandon(const claim_key& key)
{
    const auto known = entries_.find(key);
    if (known == entries_.end() || known->second.answer)
        return;
    entries_.erase(known);
    --runs_;
}

void kept_answers::finish(
    const claim_key& key, kept_answer answer, core::time_point now)
{
    constexpr std::size_t answers_that_must_fit = 8;
    const auto known = entries_.find(key);
    if (known == entries_.end() || known->second.answer)
        return;
    if (answer.size() > settings_.byte_limit / answers_that_must_fit)
        return finish_without_answer(key);
    bytes_ += answer.size();
    known->second.answer =
        std::make_shared<const kept_answer>(std::move(answer));
    --runs_;
    by_age_.push_back({now, key});
    while (by_age_.size() > settings_.answer_limit ||
           bytes_ > settings_.byte_limit)
        evict_oldest();
}

void kept_answers::finish_without_answer(const claim_key& key)
{
    const auto known = entries_.find(key);
    if (known == entries_.end() || known->second.answer)
        return;
    note_evicted(known->second.position);
    entries_.erase(known);
    --runs_;
}

kept_lookup kept_answers::find(
    const claim_key& key,
    const request_fingerprint& request,
    claim_position position) const
{
    const auto known = entries_.find(key);
    if (known == entries_.end()) {
        // Evicted runs leave only the highest of their positions behind.
        // Below it a run may have been here, so that the answer stays on the
        // safe side.
        if (evicted_through_ && position <= *evicted_through_)
            return run_evicted{};
        return run_not_started{};
    }
    if (known->second.request != request)
        return run_key_reused{};
    if (known->second.position < position)
        return run_not_started{};
    if (known->second.answer)
        return run_kept{known->second.answer};
    return run_attach{known->second.id};
}

void kept_answers::expire(core::time_point now)
{
    while (!by_age_.empty() &&
           now - by_age_.front().finished_at >= settings_.lifetime)
        evict_oldest();
}

void kept_answers::evict_oldest()
{
    const auto known = entries_.find(by_age_.front().key);
    bytes_ -= known->second.answer->size();
    note_evicted(known->second.position);
    entries_.erase(known);
    by_age_.pop_front();
}

void kept_answers::note_evicted(claim_position position)
{
    evicted_through_ =
        evicted_through_ ? std::max(*evicted_through_, position) : position;
}

} // namespace godwit::claims
