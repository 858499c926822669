#include <godwit/wire/connector.hpp>

#include <utility>

namespace godwit::wire {

core::result<std::shared_ptr<connector>> connector::create(
    boost::asio::any_io_executor executor,
    boost::asio::ip::tcp::endpoint endpoint,
    const link_options& options,
    hello_source self,
    link_handlers handlers,
    std::uint64_t seed,
    const backoff_options& waits)
{
    // Options are checked here because later connections have no caller to
    // report an error to.
    (void)GODWIT_TRY(frame_encoder::create(options.frame_limit));
    return std::shared_ptr<connector>(new connector(
        std::move(executor),
        std::move(endpoint),
        options,
        std::move(self),
        std::move(handlers),
        seed,
        waits));
}

connector::connector(
    boost::asio::any_io_executor executor,
    boost::asio::ip::tcp::endpoint endpoint,
    const link_options& options,
    hello_source self,
    link_handlers handlers,
    std::uint64_t seed,
    const backoff_options& waits)
    : endpoint_(std::move(endpoint)), options_(options), self_(std::move(self)),
      handlers_(std::move(handlers)), backoff_(waits, seed), timer_(executor),
      socket_(executor)
{}

void connector::start()
{
    connect();
}

void connector::stop()
{
    stopped_ = true;
    timer_.cancel();
    boost::system::error_code ignored;
    socket_.close(ignored);
    handlers_ = {};
    if (link_)
        std::exchange(link_, nullptr)->abandon();
}

bool connector::send(const message& value)
{
    if (!current())
        return false;
    link_->send(value);
    return true;
}

std::shared_ptr<link> connector::current() const noexcept
{
    return link_ && link_->is_open() ? link_ : nullptr;
}

void connector::connect()
{
    connecting_ = true;
    // A SYN to a partitioned zone gets no response, and the system's own
    // timeout is minutes.
    timer_.expires_after(options_.hello_timeout);
    timer_.async_wait(
        [weak = weak_from_this()](const boost::system::error_code& code) {
            const auto self = weak.lock();
            if (code || !self || !self->connecting_)
                return;
            boost::system::error_code ignored;
            self->socket_.close(ignored);
        });
    socket_ = boost::asio::ip::tcp::socket(timer_.get_executor());
    socket_.async_connect(
        endpoint_,
        [self = shared_from_this()](const boost::system::error_code& code) {
            self->connecting_ = false;
            if (self->stopped_)
                return;
            self->timer_.cancel();
            if (code) {
                ++self->failures_;
                self->retry();
                return;
            }
            self->on_connected();
        });
}

void connector::on_connected()
{
    auto created =
        link::create(std::move(socket_), options_, self_(), make_handlers());
    if (!created) {
        retry();
        return;
    }
    link_ = std::move(*created);
    link_->start();
}

link_handlers connector::make_handlers()
{
    const auto weak = weak_from_this();
    return {
        .on_open =
            [weak](const std::shared_ptr<link>& opened, const hello& peer) {
                const auto self = weak.lock();
                if (!self || self->stopped_)
                    return;
                self->failures_ = 0;
                self->backoff_.reset();
                if (self->handlers_.on_open)
                    self->handlers_.on_open(opened, peer);
            },
        .on_message =
            [weak](const std::shared_ptr<link>& from, message value) {
                const auto self = weak.lock();
                if (self && self->handlers_.on_message)
                    self->handlers_.on_message(from, std::move(value));
            },
        .on_close =
            [weak](
                const std::shared_ptr<link>& closed,
                const core::error& reason) {
                const auto self = weak.lock();
                if (!self || self->stopped_)
                    return;
                self->link_ = nullptr;
                if (!closed->peer())
                    ++self->failures_;
                if (self->handlers_.on_close)
                    self->handlers_.on_close(closed, reason);
                if (!self->stopped_)
                    self->retry();
            },
        .on_sent =
            [weak](
                const link& sender, std::string_view kind, std::size_t bytes) {
                const auto self = weak.lock();
                if (self && self->handlers_.on_sent)
                    self->handlers_.on_sent(sender, kind, bytes);
            }};
}

void connector::retry()
{
    timer_.expires_after(backoff_.next());
    timer_.async_wait(
        [weak = weak_from_this()](const boost::system::error_code& code) {
            const auto self = weak.lock();
            if (!code && self && !self->stopped_)
                self->connect();
        });
}

} // namespace godwit::wire
