#pragma once

#include <godwit/claims/claim_key.hpp>
#include <godwit/claims/claim_position.hpp>
#include <godwit/claims/kept_answer.hpp>
#include <godwit/claims/kept_answers.hpp>
#include <godwit/claims/kept_lookup.hpp>
#include <godwit/claims/request_fingerprint.hpp>
#include <godwit/core/identifiers.hpp>
#include <godwit/core/result.hpp>
#include <godwit/core/time.hpp>

#include <memory>
#include <mutex>

namespace godwit::proxy {

/// The runs under claims and their answers, shared by all threads.
class answer_store
{
public:
    /// Fails with `invalid_input` when a bound is zero.
    static core::result<std::unique_ptr<answer_store>>
    create(claims::kept_answers_settings settings);

    /// See `claims::kept_answers`.
    core::result<void> begin(
        const claims::claim_key& key,
        const claims::request_fingerprint& request,
        claims::claim_position position,
        const core::request_id& run);
    void abandon(const claims::claim_key& key);
    void finish(
        const claims::claim_key& key,
        claims::kept_answer answer,
        core::time_point now);
    void finish_without_answer(const claims::claim_key& key);
    [[nodiscard]] claims::kept_lookup find(
        const claims::claim_key& key,
        const claims::request_fingerprint& request,
        claims::claim_position position) const;
    void expire(core::time_point now);

private:
    explicit answer_store(claims::kept_answers answers);

    mutable std::mutex mutex_;
    claims::kept_answers answers_;
};

} // namespace godwit::proxy
