#pragma once

#include <godwit/core/result.hpp>
#include <godwit/core/timer.hpp>
#include <godwit/wire/frame_decoder.hpp>
#include <godwit/wire/frame_encoder.hpp>
#include <godwit/wire/hello.hpp>
#include <godwit/wire/link_counters.hpp>
#include <godwit/wire/link_handlers.hpp>
#include <godwit/wire/link_options.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>

namespace godwit::wire {

/// A connection between two godwitworks processes: a hello in each direction,
/// then messages. Call every member on the socket's executor, which must run
/// one handler at a time.
class link : public std::enable_shared_from_this<link>
{
public:
    using socket_type = boost::asio::ip::tcp::socket;

    /// Makes a link over the connected `socket` with `self` as its hello.
    /// Nothing is sent or read before `start`. Fails with `invalid_input` on
    /// options out of range.
    [[nodiscard]] static core::result<std::shared_ptr<link>> create(
        socket_type socket,
        const link_options& options,
        hello self,
        link_handlers handlers);

    /// Sends the hello and starts to read.
    void start();

    /// Queues a message. If the queue is full or the message exceeds the frame
    /// limit, the link closes with `exhausted`. A closed link drops it, and so
    /// does one whose peer cannot read this kind of message.
    void send(const message& value);

    /// Queues a message that goes to several links with the same frame limit:
    /// `encoded` is empty before the first of them and keeps its frame.
    void send(
        const message& value,
        std::optional<core::result<std::string>>& encoded);

    /// Closes the link and calls `on_close` with `reason`. Drops queued
    /// messages.
    void close(const core::error& reason);

    /// Closes the link without calling a handler.
    void abandon();

    [[nodiscard]] bool is_open() const noexcept { return peer_ && !closed_; }

    /// The peer's hello, if the link is or was open.
    [[nodiscard]] const std::optional<hello>& peer() const noexcept
    {
        return peer_;
    }

    [[nodiscard]] const link_counters& counters() const noexcept
    {
        return counters_;
    }

    /// Bytes that are queued or being sent.
    [[nodiscard]] std::size_t queued() const noexcept
    {
        return pending_.size() + in_flight_.size();
    }

private:
    static constexpr std::size_t read_buffer_size = std::size_t{16} * 1024;

    link(
        socket_type socket,
        const link_options& options,
        hello self,
        link_handlers handlers,
        frame_encoder encoder,
        frame_decoder decoder);

    void read();
    void on_received(std::size_t size);
    [[nodiscard]] bool dispatch(message value);
    [[nodiscard]] bool on_hello(const hello& peer);
    void write();
    void tick();
    void check_times(core::time_point now);
    void close_socket();

    socket_type socket_;
    core::timer timer_;
    link_options options_;
    hello self_;
    link_handlers handlers_;
    frame_encoder encoder_;
    frame_decoder decoder_;
    std::array<char, read_buffer_size> read_buffer_{};
    std::string pending_;
    std::string in_flight_;
    std::optional<hello> peer_;
    link_counters counters_;
    core::time_point started_{};
    core::time_point last_sent_{};
    core::time_point last_received_{};
    bool closed_ = false;
};

} // namespace godwit::wire
