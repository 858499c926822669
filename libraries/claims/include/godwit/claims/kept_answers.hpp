#pragma once

#include <godwit/claims/claim_key.hpp>
#include <godwit/claims/claim_position.hpp>
#include <godwit/claims/kept_answers_settings.hpp>
#include <godwit/claims/kept_lookup.hpp>
#include <godwit/claims/request_fingerprint.hpp>
#include <godwit/core/result.hpp>
#include <godwit/core/time.hpp>

#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>

namespace godwit::claims {

/// The runs of one proxy under won claims, and their answers for a while,
/// so that a caller's retry through any entry host finds them. In memory and
/// bounded; what is dropped is answered `run_evicted`, never forgotten as if
/// it had not run.
class kept_answers
{
public:
    /// Fails with `invalid_input` when a bound is zero.
    [[nodiscard]] static core::result<kept_answers>
    create(kept_answers_settings settings);

    /// A run starts under the claim at `position`. Fails with `exhausted` at
    /// the limit of runs and with `conflict` if the key runs here already;
    /// then nothing may be started and the claim is to be released.
    [[nodiscard]] core::result<void> begin(
        const claim_key& key,
        const request_fingerprint& request,
        claim_position position,
        const core::request_id& run);

    /// The run ended without a byte sent (`not_run`): it is as if it had
    /// never begun, and the claim is to be released.
    void abandon(const claim_key& key);

    /// The run ended with `answer`.
    void finish(const claim_key& key, kept_answer answer, core::time_point now);

    /// The run ended and no answer can be kept (it was cut, or streamed
    /// without being collected).
    void finish_without_answer(const claim_key& key);

    /// What is known of the run under the claim at `position`.
    [[nodiscard]] kept_lookup find(
        const claim_key& key,
        const request_fingerprint& request,
        claim_position position) const;

    /// Drops answers past their lifetime.
    void expire(core::time_point now);

    [[nodiscard]] std::size_t answers() const noexcept
    {
        return by_age_.size();
    }

    [[nodiscard]] std::size_t runs() const noexcept { return runs_; }

    [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }

private:
    struct dated_key
    {
        core::time_point finished_at;
        claim_key key;
    };

    struct run
    {
        request_fingerprint request;
        claim_position position;
        core::request_id id;
        std::shared_ptr<const kept_answer> answer;
    };

    explicit kept_answers(kept_answers_settings settings) : settings_(settings)
    {}

    void evict_oldest();
    void note_evicted(claim_position position);

    kept_answers_settings settings_;
    std::list<dated_key> by_age_;
    std::size_t runs_ = 0;
    std::size_t bytes_ = 0;
    std::optional<claim_position> evicted_through_;
    std::unordered_map<claim_key, run> entries_;
};

} // namespace godwit::claims
