#include "token_writer.hpp"

#include <godwit/fakes/generation_text.hpp>
#include <godwit/http/server_sent_event.hpp>

#include <boost/json.hpp>

#include <utility>

namespace godwit::fakes {

namespace asio = boost::asio;
namespace json = boost::json;

asio::awaitable<bool> token_writer::begin()
{
    http::header_fields fields;
    fields.set("Content-Type", "text/event-stream");
    fields.set("Godwit-Generation-Id", id_);
    const auto sent = co_await current_.start_stream(200, std::move(fields));
    co_return sent.has_value();
}

asio::awaitable<bool>
token_writer::write(const generation_view& view, std::uint64_t limit)
{
    std::string out;
    while (next_ < view.produced && (limit == 0 || written_ < limit)) {
        out += token_event(view, next_++);
        ++written_;
    }
    if (view.preemptions > preemptions_) {
        preemptions_ = view.preemptions;
        out += preempted_event(preemptions_);
    }
    const bool is_over = view.is_finished() && next_ >= view.length;
    if (is_over)
        out += http::format_event({"", "", "[DONE]"});
    auto sent = co_await current_.write_chunk(std::move(out));
    if (sent && is_over)
        sent = co_await current_.finish_stream();
    co_return sent && !is_over;
}

std::string token_writer::token_event(
    const generation_view& view, std::uint64_t offset) const
{
    json::object data;
    data["generation_id"] = id_;
    data["offset"] = offset;
    data["token"] = token_text(view.prompt, offset);
    data["finish_reason"] = nullptr;
    if (offset + 1 == view.length)
        data["finish_reason"] = view.finish_reason;
    http::server_sent_event event;
    event.id = std::to_string(offset);
    event.data = json::serialize(data);
    return http::format_event(event);
}

std::string token_writer::preempted_event(std::uint64_t count) const
{
    json::object data;
    data["generation_id"] = id_;
    data["count"] = count;
    http::server_sent_event event;
    event.name = "preempted";
    event.data = json::serialize(data);
    return http::format_event(event);
}

} // namespace godwit::fakes
