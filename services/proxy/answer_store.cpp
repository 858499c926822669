#include "answer_store.hpp"

#include <utility>

namespace godwit::proxy {

answer_store::answer_store(claims::kept_answers answers)
    : answers_(std::move(answers))
{}

core::result<std::unique_ptr<answer_store>>
answer_store::create(claims::kept_answers_settings settings)
{
    auto answers = GODWIT_TRY(claims::kept_answers::create(settings));
    return std::unique_ptr<answer_store>(new answer_store(std::move(answers)));
}

core::result<void> answer_store::begin(
    const claims::claim_key& key,
    const claims::request_fingerprint& request,
    claims::claim_position position,
    const core::request_id& run)
{
    const std::scoped_lock lock(mutex_);
    return answers_.begin(key, request, position, run);
}

void answer_store::abandon(const claims::claim_key& key)
{
    const std::scoped_lock lock(mutex_);
    answers_.abandon(key);
}

void answer_store::finish(
    const claims::claim_key& key,
    claims::kept_answer answer,
    core::time_point now)
{
    const std::scoped_lock lock(mutex_);
    answers_.finish(key, std::move(answer), now);
}

void answer_store::finish_without_answer(const claims::claim_key& key)
{
    const std::scoped_lock lock(mutex_);
    answers_.finish_without_answer(key);
}

claims::kept_lookup answer_store::find(
    const claims::claim_key& key,
    const claims::request_fingerprint& request,
    claims::claim_position position) const
{
    const std::scoped_lock lock(mutex_);
    return answers_.find(key, request, position);
}

void answer_store::expire(core::time_point now)
{
    const std::scoped_lock lock(mutex_);
    answers_.expire(now);
}

} // namespace godwit::proxy
