#include <godwit/entry/quarantine_gate.hpp>

#include <godwit/entry/call_log.hpp>
#include <godwit/entry/call_messages.hpp>

#include <algorithm>
#include <chrono>

namespace godwit::entry {

namespace {

// By how much later a request is a trial that has other suspect parts: if it
// crashes, what is quarantined by mistake stays so. Other requests come first.
constexpr core::duration mixed_trial_delay = std::chrono::seconds(20);

} // namespace

bool quarantine_gate::refuses(const routed_call& call)
{
    if (is_trial_ || context_.quarantine.quarantined_count() == 0)
        return false;
    fingerprints suspects = suspects_of(call);
    fingerprints quarantined = suspects;
    std::erase_if(quarantined, [this](const auto& each) {
        return !context_.quarantine.is_quarantined(each);
    });
    if (quarantined.empty())
        return false;
    const core::duration delay = quarantined.size() < suspects.size()
                                     ? mixed_trial_delay
                                     : core::duration::zero();
    is_trial_ = start_trial(call, quarantined, delay);
    return !is_trial_;
}

// Returns what is in the request and under enough crashes for a quarantine.
quarantine_gate::fingerprints
quarantine_gate::suspects_of(const routed_call& call) const
{
    fingerprints suspects = prompt_part_fingerprints(context_, call);
    suspects.push_back(fingerprint_of(call));
    std::erase_if(suspects, [this](const auto& each) {
        return context_.quarantine.crash_count(each) <
               admission::request_quarantine::crash_limit;
    });
    return suspects;
}

// The request is a trial of all in it that is quarantined.
bool quarantine_gate::start_trial(
    const routed_call& call,
    const fingerprints& quarantined,
    core::duration delay)
{
    const core::time_point now = core::monotonic_now();
    const auto rank_for = [this](const admission::request_fingerprint& each) {
        return context_.host_rank ? context_.host_rank(each.value()) : 0;
    };
    const bool are_due = std::all_of(
        quarantined.begin(), quarantined.end(), [&](const auto& each) {
            return context_.quarantine.is_trial_due(
                each, rank_for(each), now - delay);
        });
    if (!are_due)
        return false;
    for (const admission::request_fingerprint& each : quarantined) {
        if (context_.quarantine.start_trial(each, rank_for(each), now))
            log_quarantine_trial(call, each);
    }
    return true;
}

} // namespace godwit::entry
