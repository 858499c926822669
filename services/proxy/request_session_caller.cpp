// The caller's side of a request: what is written to it.

#include "request_session.hpp"

#include "fail_detail.hpp"

#include <godwit/core/wall_clock.hpp>
#include <godwit/http/server_sent_event.hpp>
#include <godwit/request/resume_token.hpp>

#include <boost/json/serialize.hpp>

#include <cassert>
#include <chrono>
#include <utility>

namespace godwit::proxy {

namespace {

constexpr unsigned ok = 200;

} // namespace

void request_session::begin_stream()
{
    if (writer_.is_begun())
        return;
    writer_.start_stream(
        {{"Content-Type", "text/event-stream"},
         {"Cache-Control", "no-cache"},
         {"Godwit-Request-Id", id_.value()}});
}

std::string request_session::resume_token_after(
    const core::generation_id& generation, std::uint64_t offset) const
{
    const auto validity = std::chrono::duration_cast<std::chrono::seconds>(
        services_.settings.resume_validity);
    request::resume_token token;
    token.organisation = request_.organisation->name;
    token.service = request_.service->name;
    token.position = {core::server_address(server_), generation, offset + 1};
    const auto now = std::chrono::duration_cast<std::chrono::seconds>(
        core::wall_clock_now());
    token.expires_at = (now + validity).count();
    token.started_by = request_.resume ? request_.started_by
                                       : services_.claims.self().peer_address;
    // Sealing fails for names of 64 KiB, which no catalogue holds; without
    // an id the caller cannot come back, and everything else goes on.
    return services_.keys.seal(token).value_or("");
}

void request_session::on(const request::deliver_tokens& what)
{
    assert(!arrived_.empty() && what.first >= arrived_.front().offset);
    begin_stream();
    const std::uint64_t skipped = what.first - arrived_.front().offset;
    std::string text;
    for (std::uint64_t index = 0; index < what.count; ++index) {
        const auto& token = arrived_.at(skipped + index);
        text += http::format_event(
            {resume_token_after(what.generation, token.offset),
             "",
             text_.event(token.text, token.finish_reason)});
    }
    writer_.write(std::move(text));
    count_tokens(what.count);
}

void request_session::on(const request::keep_tokens& what)
{
    assert(!arrived_.empty() && what.first >= arrived_.front().offset);
    const std::uint64_t skipped = what.first - arrived_.front().offset;
    for (std::uint64_t index = 0; index < what.count; ++index)
        collected_ += arrived_.at(skipped + index).text;
    collected_tokens_ += what.count;
    if (request_.mode == request::answer_mode::whole)
        count_tokens(what.count);
}

void request_session::count_tokens(std::uint64_t count)
{
    finish_reason_ = arrived_.back().finish_reason;
    metrics_.tokens_arrived(core::monotonic_now());
    services_.ledger.add(
        dispatch_id(dispatch_ask_), static_cast<std::uint32_t>(count));
}

void request_session::on(const request::discard_kept&)
{
    collected_.clear();
    collected_tokens_ = 0;
}

void request_session::on(const request::deliver_answer&)
{
    if (attached_) {
        deliver_attached();
        return;
    }
    http::response answer = answer_;
    if (request_.kind == request::request_kind::generation) {
        answer.status = ok;
        answer.fields.set("Content-Type", "application/json");
        answer.body = text_.whole(
            collected_,
            finish_reason_,
            estimated_prompt_tokens(),
            collected_tokens_);
    }
    answer.fields.set("Godwit-Request-Id", id_.value());
    writer_.respond(std::move(answer));
}

// The run's answer was collected whole; a caller that wants a stream gets it
// as one.
void request_session::deliver_attached()
{
    const bool as_stream = request_.kind == request::request_kind::generation &&
                           request_.mode == request::answer_mode::streamed &&
                           answer_.status == ok;
    if (!as_stream) {
        answer_.fields.set("Godwit-Request-Id", id_.value());
        writer_.respond(answer_);
        return;
    }
    begin_stream();
    writer_.write(
        http::format_event({"", "", answer_.body}) +
        http::format_event({"", "", "[DONE]"}));
    writer_.finish_stream();
}

void request_session::on(const request::finish_stream&)
{
    begin_stream();
    writer_.write(http::format_event({"", "", "[DONE]"}));
    writer_.finish_stream();
}

void request_session::on(const request::fail_request& what)
{
    failed_because_ = request::to_string(what.reason);
    problem failure;
    failure.status = static_cast<unsigned>(what.status);
    failure.outcome = what.result;
    failure.reason = request::to_string(what.reason);
    failure.detail = fail_detail(what.reason);
    failure.remedy = what.remedy;
    failure.retry_after = what.retry_after;
    if (writer_.is_begun()) {
        writer_.write(http::format_event(
            {"", "error", boost::json::serialize(to_json(failure))}));
        writer_.finish_stream();
        return;
    }
    auto answer = to_response(failure);
    answer.fields.set("Godwit-Request-Id", id_.value());
    writer_.respond(std::move(answer));
}

} // namespace godwit::proxy
