#include <godwit/request/describe.hpp>

#include "pairs.hpp"

namespace godwit::request {

namespace {

std::string_view name_of(holder_state state)
{
    return state == holder_state::live ? "live" : "lost";
}

std::string_view name_of(start_state state)
{
    switch (state) {
    case start_state::not_said:
        return "not_said";
    case start_state::not_started:
        return "not_started";
    case start_state::leaving:
        return "leaving";
    }
    return "not_said";
}

std::string_view name_of(refusal why)
{
    switch (why) {
    case refusal::crowded:
        return "crowded";
    case refusal::over_limit:
        return "over_limit";
    case refusal::no_server:
        return "no_server";
    }
    return "crowded";
}

std::string text(const accepted& what)
{
    const bool generation = what.kind == request_kind::generation;
    const bool streamed = what.mode == answer_mode::streamed;
    const bool repeatable = what.repeat == repeatability::repeatable;
    pairs line("accepted");
    line.add("organisation", what.organisation)
        .add("service", what.service)
        .add("class", what.request_class)
        .add("kind", generation ? "generation" : "service_call")
        .add("answer", streamed ? "streamed" : "whole")
        .add("repeatable", repeatable ? "yes" : "no")
        .add("key", what.key)
        .add("deadline", what.deadline);
    if (what.resume) {
        line.add("resume_server", what.resume->server)
            .add("resume_generation", what.resume->generation)
            .add("resume_offset", what.resume->offset);
    }
    return line.take();
}

std::string text(const claim_won& what)
{
    return pairs("claim_won").add("start_before", what.start_before).take();
}

std::string text(const claim_held& what)
{
    return pairs("claim_held")
        .add("holder", what.holder)
        .add("state", name_of(what.state))
        .take();
}

std::string text(const claim_finished& what)
{
    return pairs("claim_finished")
        .add("holder", what.holder)
        .add("state", name_of(what.state))
        .add("outcome", to_string(what.result))
        .take();
}

std::string text(const claim_refused& what)
{
    const bool too_old = what.why == claim_refusal::outside_window;
    return pairs("claim_refused")
        .add("why", too_old ? "outside_window" : "key_reused")
        .take();
}

std::string text(const claim_unavailable& what)
{
    return pairs("claim_unavailable")
        .add("retry_after", what.retry_after)
        .take();
}

std::string text(const holder_answered&)
{
    return "holder_answered";
}

std::string text(const holder_failed&)
{
    return "holder_failed";
}

std::string text(const holder_released&)
{
    return "holder_released";
}

std::string text(const granted& what)
{
    return pairs("granted")
        .add("ask", what.ask)
        .add("server", what.server)
        .add("priority", what.priority)
        .take();
}

std::string text(const dispatch_refused& what)
{
    return pairs("dispatch_refused")
        .add("ask", what.ask)
        .add("why", name_of(what.why))
        .add("retry_after", what.retry_after)
        .take();
}

std::string text(const connected& what)
{
    return pairs("connected").add("connection", what.connection).take();
}

std::string text(const connect_failed& what)
{
    return pairs("connect_failed")
        .add("connection", what.connection)
        .add("refused", what.refused ? "yes" : "no")
        .take();
}

std::string text(const first_byte_handed_over& what)
{
    return pairs("first_byte_handed_over")
        .add("connection", what.connection)
        .take();
}

std::string text(const request_sent& what)
{
    return pairs("request_sent").add("connection", what.connection).take();
}

std::string text(const answer_head& what)
{
    return pairs("answer_head")
        .add("connection", what.connection)
        .add("status", what.status)
        .add("echoed_id", std::string_view(what.echoed_id))
        .add("started", name_of(what.started))
        .take();
}

std::string text(const tokens_arrived& what)
{
    return pairs("tokens_arrived")
        .add("connection", what.connection)
        .add("generation", what.generation)
        .add("offset", what.offset)
        .add("count", what.count)
        .add("finish", what.finish == token_finish::last ? "last" : "more")
        .take();
}

std::string text(const preempted& what)
{
    return pairs("preempted")
        .add("connection", what.connection)
        .add("generation", what.generation)
        .add("count", what.count)
        .take();
}

std::string text(const answer_complete& what)
{
    return pairs("answer_complete").add("connection", what.connection).take();
}

std::string text(const link_broken& what)
{
    return pairs("link_broken").add("connection", what.connection).take();
}

std::string text(const delivered_to_caller&)
{
    return "delivered_to_caller";
}

std::string text(const caller_gone&)
{
    return "caller_gone";
}

std::string text(const caller_slow&)
{
    return "caller_slow";
}

std::string text(const resumed_elsewhere& what)
{
    return pairs("resumed_elsewhere").add("generation", what.generation).take();
}

std::string text(const timer_fired& what)
{
    return pairs("timer_fired").add("timer", to_string(what.which)).take();
}

std::string text(const drain_began&)
{
    return "drain_began";
}

std::string text(const drain_limit&)
{
    return "drain_limit";
}

std::string text(const service_gone&)
{
    return "service_gone";
}

} // namespace

std::string describe(const event& what)
{
    return std::visit([](const auto& one) { return text(one); }, what);
}

} // namespace godwit::request
