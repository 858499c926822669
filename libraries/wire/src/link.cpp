#include <godwit/wire/link.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace godwit::wire {

namespace {

core::error connection_broken(const boost::system::error_code& code)
{
    return {
        core::error_kind::unavailable,
        "the connection broke: " + code.message(),
        "no action is needed; the connecting side retries"};
}

// Number of message kinds that releases without `hello::message_kinds` can
// read.
constexpr std::size_t legacy_message_kinds = 24;

// A peer closes the link when it receives a frame of an unknown kind.
bool can_read(const hello& peer, const message& value)
{
    const std::size_t kinds =
        std::max<std::size_t>(peer.message_kinds, legacy_message_kinds);
    return value.index() < kinds;
}

} // namespace

core::result<std::shared_ptr<link>> link::create(
    socket_type socket,
    const link_options& options,
    hello self,
    link_handlers handlers)
{
    auto encoder = GODWIT_TRY(frame_encoder::create(options.frame_limit));
    auto decoder = GODWIT_TRY(frame_decoder::create(options.frame_limit));
    self.version = protocol_version;
    self.message_kinds = std::variant_size_v<message>;
    return std::shared_ptr<link>(new link(
        std::move(socket),
        options,
        std::move(self),
        std::move(handlers),
        encoder,
        std::move(decoder)));
}

link::link(
    socket_type socket,
    const link_options& options,
    hello self,
    link_handlers handlers,
    frame_encoder encoder,
    frame_decoder decoder)
    : socket_(std::move(socket)), timer_(socket_.get_executor()),
      options_(options), self_(std::move(self)), handlers_(std::move(handlers)),
      encoder_(encoder), decoder_(std::move(decoder))
{}

void link::start()
{
    // If the hello cannot be sent, the link closes and its owner releases it;
    // this reference keeps it alive until `start` returns.
    const auto self = shared_from_this();
    // Nagle's algorithm would delay small frames whose responses are awaited;
    // the write queue already coalesces messages.
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    started_ = core::monotonic_now();
    last_received_ = started_;
    send(self_);
    if (closed_)
        return;
    read();
    tick();
}

void link::send(const message& value)
{
    std::optional<core::result<std::string>> encoded;
    send(value, encoded);
}

void link::send(
    const message& value, std::optional<core::result<std::string>>& encoded)
{
    if (closed_ || (peer_ && !can_read(*peer_, value)))
        return;
    if (!encoded)
        encoded = encoder_.encode(value);
    const core::result<std::string>& frame = *encoded;
    if (!frame) {
        close(frame.error());
        return;
    }
    if (queued() + frame->size() > options_.send_queue_limit) {
        close(core::error(
            core::error_kind::exhausted,
            "the peer reads too slowly: " + std::to_string(queued()) +
                " bytes are queued",
            "check whether the peer's process is paused or overloaded"));
        return;
    }
    pending_ += *frame;
    last_sent_ = core::monotonic_now();
    ++counters_.messages_sent;
    counters_.bytes_sent += frame->size();
    if (handlers_.on_sent)
        handlers_.on_sent(*this, name_of(value), frame->size());
    write();
}

void link::close(const core::error& reason)
{
    if (closed_)
        return;
    close_socket();
    const auto handler = std::move(handlers_.on_close);
    handlers_ = {};
    if (handler)
        handler(shared_from_this(), reason);
}

void link::abandon()
{
    if (closed_)
        return;
    close_socket();
    handlers_ = {};
}

void link::close_socket()
{
    closed_ = true;
    boost::system::error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
    pending_.clear();
}

void link::read()
{
    socket_.async_read_some(
        boost::asio::buffer(read_buffer_),
        [self = shared_from_this()](
            const boost::system::error_code& code, std::size_t size) {
            if (self->closed_)
                return;
            if (code) {
                self->close(connection_broken(code));
                return;
            }
            self->on_received(size);
        });
}

void link::on_received(std::size_t size)
{
    counters_.bytes_received += size;
    last_received_ = core::monotonic_now();
    decoder_.feed(std::string_view(read_buffer_.data(), size));
    for (;;) {
        auto decoded = decoder_.next();
        if (!decoded) {
            close(decoded.error());
            return;
        }
        if (!*decoded)
            break;
        ++counters_.messages_received;
        if (!dispatch(std::move(**decoded)))
            return;
    }
    read();
}

bool link::dispatch(message value)
{
    if (const auto* introduction = std::get_if<hello>(&value))
        return on_hello(*introduction);
    if (!peer_) {
        close(core::error(
            core::error_kind::protocol,
            "the peer's first message is " + std::string(name_of(value)) +
                ", not hello",
            "check that the peer is a godwitworks process"));
        return false;
    }
    if (!std::holds_alternative<heartbeat>(value) && handlers_.on_message) {
        // The handler may close the link, which clears the handlers.
        const auto handler = handlers_.on_message;
        handler(shared_from_this(), std::move(value));
    }
    return !closed_;
}

bool link::on_hello(const hello& peer)
{
    if (peer_) {
        close(core::error(
            core::error_kind::protocol,
            "the peer sent a second hello",
            "check that the peer is a godwitworks process"));
        return false;
    }
    if (peer.version != protocol_version) {
        close(core::error(
            core::error_kind::protocol,
            "the peer " + peer.host.value() + " has protocol version " +
                std::to_string(peer.version) + ", this process version " +
                std::to_string(protocol_version),
            "run the same release on both sides"));
        return false;
    }
    peer_ = peer;
    if (handlers_.on_open) {
        const auto handler = handlers_.on_open;
        handler(shared_from_this(), peer);
    }
    return !closed_;
}

void link::write()
{
    if (!in_flight_.empty() || pending_.empty())
        return;
    std::swap(in_flight_, pending_);
    boost::asio::async_write(
        socket_,
        boost::asio::buffer(in_flight_),
        [self = shared_from_this()](
            const boost::system::error_code& code, std::size_t /*size*/) {
            self->in_flight_.clear();
            if (self->closed_)
                return;
            if (code) {
                self->close(connection_broken(code));
                return;
            }
            self->write();
        });
}

void link::tick()
{
    timer_.expires_after(
        std::min(options_.heartbeat_interval, options_.hello_timeout));
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& code) {
            if (code || self->closed_)
                return;
            self->check_times(core::monotonic_now());
            if (!self->closed_)
                self->tick();
        });
}

void link::check_times(core::time_point now)
{
    if (!peer_ && now - started_ >= options_.hello_timeout) {
        close(core::error(
            core::error_kind::timeout,
            "the peer sent no hello in time",
            "check that the address is a godwitworks process"));
        return;
    }
    if (now - last_received_ >= options_.idle_timeout) {
        close(core::error(
            core::error_kind::timeout,
            "the peer sent nothing within the idle timeout",
            "check the network, and whether the peer's process is paused"));
        return;
    }
    if (now - last_sent_ >= options_.heartbeat_interval)
        send(heartbeat{});
}

} // namespace godwit::wire
