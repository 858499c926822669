// The claim of a request that may not be repeated, and what entry hosts tell
// each other about a request.

#include "request_session.hpp"

#include "peer_calls.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <chrono>
#include <utility>

namespace godwit::proxy {

namespace asio = boost::asio;

namespace {

constexpr unsigned ok = 200;

request::holder_state holder_state_of(const wire::claim_answer& answer)
{
    return answer.holder_gone ? request::holder_state::lost
                              : request::holder_state::live;
}

} // namespace

core::request_id request_of(std::string_view generation)
{
    return core::request_id(
        std::string(generation.substr(0, generation.rfind('-'))));
}

void request_session::on(const request::ask_claim& what)
{
    const auto key = claims::claim_key::create(what.organisation, what.key);
    if (!key) {
        handle(request::claim_unavailable{});
        return;
    }
    claim_key_ = *key;
    services_.claims.ask(
        *key,
        request_.fingerprint,
        id_,
        [self = shared_from_this()](const wire::claim_answer& answer) {
            asio::post(self->executor_, [self, answer] {
                self->on_claim_answer(answer);
            });
        });
}

void request_session::on_claim_answer(const wire::claim_answer& answer)
{
    const auto& host = answer.holder.host;
    claimed_run run{
        *claim_key_,
        request_.fingerprint,
        {answer.offset, answer.index},
        answer.holder};
    if (answer.verdict == wire::claim_verdict::won) {
        run.holder = services_.claims.self();
        claim_ = std::move(run);
    } else if (
        answer.verdict == wire::claim_verdict::held ||
        answer.verdict == wire::claim_verdict::finished) {
        attached_ = std::move(run);
    }
    switch (answer.verdict) {
    case wire::claim_verdict::won:
        handle(request::claim_won{
            core::time_point(core::duration(answer.start_before_us))});
        return;
    case wire::claim_verdict::held:
        handle(request::claim_held{host, holder_state_of(answer)});
        return;
    case wire::claim_verdict::finished:
        handle(request::claim_finished{
            host, holder_state_of(answer), answer.outcome});
        return;
    case wire::claim_verdict::unavailable:
        handle(request::claim_unavailable{
            std::chrono::milliseconds(answer.retry_after_ms)});
        return;
    case wire::claim_verdict::outside_window:
        handle(request::claim_refused{request::claim_refusal::outside_window});
        return;
    case wire::claim_verdict::key_reused:
        handle(request::claim_refused{request::claim_refusal::key_reused});
        return;
    }
}

void request_session::on(const request::release_claim&)
{
    // A claim that is not settled yet is given back when it is won after all.
    if (claim_)
        services_.claims.release(*claim_);
    claim_.reset();
}

claims::kept_answer request_session::answer_to_keep() const
{
    claims::kept_answer answer;
    answer.status = answer_.status;
    answer.content_type =
        std::string(answer_.fields.find("Content-Type").value_or(""));
    answer.body = answer_.body;
    if (request_.kind == request::request_kind::generation) {
        answer.status = ok;
        answer.content_type = "application/json";
        answer.body = text_.whole(
            collected_,
            finish_reason_,
            estimated_prompt_tokens(),
            collected_tokens_);
    }
    return answer;
}

void request_session::on(const request::settle_claim& what)
{
    if (!claim_)
        return;
    if (what.result != core::outcome::completed) {
        services_.answers.finish_without_answer(claim_->key);
        services_.claims.finished(*claim_, what.result, 0);
        return;
    }
    auto answer = answer_to_keep();
    const auto digest = answer.digest();
    services_.answers.finish(
        claim_->key, std::move(answer), core::monotonic_now());
    services_.claims.finished(*claim_, what.result, digest);
}

void request_session::on(const request::attach_to_holder&)
{
    asio::co_spawn(
        executor_,
        [self = shared_from_this()] { return self->fetch_attached(); },
        asio::detached);
}

asio::awaitable<void> request_session::fetch_attached()
{
    const auto deadline =
        core::monotonic_now() + services_.settings.life.holder_wait;
    auto answer = co_await fetch_claimed_answer(*attached_, deadline);
    if (!answer) {
        attached_.reset();
        if (answer.error().kind() == core::error_kind::not_found)
            handle(request::holder_released{});
        else
            handle(request::holder_failed{});
        co_return;
    }
    answer_.status = answer->status;
    answer_.fields.set("Content-Type", answer->content_type);
    answer_.body = std::move(answer->body);
    handle(request::holder_answered{});
}

void request_session::on(const request::announce_resumed& what)
{
    const auto first = request_of(what.generation.value());
    if (const auto session = services_.registry.find(first)) {
        session->post(request::resumed_elsewhere{what.generation});
        return;
    }
    asio::co_spawn(
        executor_,
        announce_resumed(request_.started_by, what.generation),
        asio::detached);
}

} // namespace godwit::proxy
