#include <godwit/request/describe.hpp>

#include "pairs.hpp"

namespace godwit::request {

namespace {

std::string_view name_of(observation seen)
{
    switch (seen) {
    case observation::answered:
        return "answered";
    case observation::refused:
        return "refused";
    case observation::timed_out:
        return "timed_out";
    case observation::broke:
        return "broke";
    case observation::crossed:
        return "crossed";
    case observation::leaving:
        return "leaving";
    }
    return "answered";
}

std::string text(const ask_claim& what)
{
    return pairs("ask_claim")
        .add("organisation", what.organisation)
        .add("key", what.key)
        .take();
}

std::string text(const release_claim&)
{
    return "release_claim";
}

std::string text(const settle_claim& what)
{
    return pairs("settle_claim").add("outcome", to_string(what.result)).take();
}

std::string text(const attach_to_holder& what)
{
    return pairs("attach_to_holder").add("holder", what.holder).take();
}

std::string text(const ask_dispatch& what)
{
    std::string excluded;
    for (const auto& server : what.excluded) {
        if (!excluded.empty())
            excluded.append(",");
        excluded.append(server.value());
    }
    return pairs("ask_dispatch")
        .add("ask", what.ask)
        .add("excluded", std::string_view(excluded))
        .take();
}

std::string text(const leave_dispatch& what)
{
    return pairs("leave_dispatch").add("ask", what.ask).take();
}

std::string text(const connect_to& what)
{
    return pairs("connect_to")
        .add("connection", what.connection)
        .add("server", what.server)
        .take();
}

std::string text(const send_request& what)
{
    return pairs("send_request")
        .add("connection", what.connection)
        .add("generation", what.generation)
        .add("priority", what.priority)
        .add("not_after", what.not_after)
        .take();
}

std::string text(const resume_generation& what)
{
    return pairs("resume_generation")
        .add("connection", what.connection)
        .add("generation", what.generation)
        .add("from", what.from)
        .take();
}

std::string text(const announce_resumed& what)
{
    return pairs("announce_resumed").add("generation", what.generation).take();
}

std::string text(const deliver_tokens& what)
{
    return pairs("deliver_tokens")
        .add("generation", what.generation)
        .add("first", what.first)
        .add("count", what.count)
        .take();
}

std::string text(const keep_tokens& what)
{
    return pairs("keep_tokens")
        .add("generation", what.generation)
        .add("first", what.first)
        .add("count", what.count)
        .take();
}

std::string text(const discard_kept&)
{
    return "discard_kept";
}

std::string text(const deliver_answer& what)
{
    return pairs("deliver_answer").add("status", what.status).take();
}

std::string text(const finish_stream&)
{
    return "finish_stream";
}

std::string text(const fail_request& what)
{
    return pairs("fail_request")
        .add("outcome", to_string(what.result))
        .add("reason", to_string(what.reason))
        .add("status", what.status)
        .add("retry_after", what.retry_after)
        .add("remedy", std::string_view("\"" + what.remedy + "\""))
        .take();
}

std::string text(const cancel_generation& what)
{
    return pairs("cancel_generation")
        .add("server", what.server)
        .add("generation", what.generation)
        .take();
}

std::string text(const close_connection& what)
{
    return pairs("close_connection").add("connection", what.connection).take();
}

std::string text(const keep_connection& what)
{
    return pairs("keep_connection").add("connection", what.connection).take();
}

std::string text(const set_timer& what)
{
    return pairs("set_timer")
        .add("timer", to_string(what.which))
        .add("at", what.at)
        .take();
}

std::string text(const report_server& what)
{
    return pairs("report_server")
        .add("server", what.server)
        .add("seen", name_of(what.seen))
        .take();
}

std::string text(const note_preemption& what)
{
    return pairs("note_preemption")
        .add("ask", what.ask)
        .add("count", what.count)
        .take();
}

std::string text(const record_decision& what)
{
    return pairs("record_decision")
        .add("step", to_string(what.record.during))
        .add("what", to_string(what.record.what))
        .add("server", what.record.server)
        .add("delivered", what.record.delivered)
        .add("why", std::string_view("\"" + what.record.why + "\""))
        .take();
}

} // namespace

std::string describe(const action& what)
{
    return std::visit([](const auto& one) { return text(one); }, what);
}

} // namespace godwit::request
