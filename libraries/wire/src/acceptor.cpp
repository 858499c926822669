#include <godwit/wire/acceptor.hpp>

#include <sstream>
#include <utility>

namespace godwit::wire {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Delay after a failed accept, which mostly means that the process has no free
// file descriptors.
constexpr auto accept_retry_delay = std::chrono::milliseconds(100);

core::error cannot_listen(
    const tcp::endpoint& endpoint, const boost::system::error_code& code)
{
    std::ostringstream address;
    address << endpoint;
    return {
        core::error_kind::unavailable,
        "cannot listen on " + address.str() + ": " + code.message(),
        "set an address of this host whose port is free, or port 0"};
}

core::result<tcp::acceptor>
listen(const asio::any_io_executor& executor, const tcp::endpoint& endpoint)
{
    tcp::acceptor listener(executor);
    boost::system::error_code code;
    listener.open(endpoint.protocol(), code);
    if (!code)
        listener.set_option(tcp::acceptor::reuse_address(true), code);
    if (!code)
        listener.bind(endpoint, code);
    if (!code)
        listener.listen(asio::socket_base::max_listen_connections, code);
    if (code)
        return tl::unexpected(cannot_listen(endpoint, code));
    return listener;
}

} // namespace

core::result<std::shared_ptr<acceptor>> acceptor::create(
    const boost::asio::any_io_executor& executor,
    const boost::asio::ip::tcp::endpoint& endpoint,
    const link_options& options,
    hello_source self,
    link_handlers handlers,
    std::size_t link_limit)
{
    (void)GODWIT_TRY(frame_encoder::create(options.frame_limit));
    auto listener = GODWIT_TRY(listen(executor, endpoint));
    return std::shared_ptr<acceptor>(new acceptor(
        std::move(listener),
        options,
        std::move(self),
        std::move(handlers),
        link_limit));
}

acceptor::acceptor(
    tcp::acceptor listener,
    const link_options& options,
    hello_source self,
    link_handlers handlers,
    std::size_t link_limit)
    : listener_(std::move(listener)), timer_(listener_.get_executor()),
      endpoint_(listener_.local_endpoint()), options_(options),
      self_(std::move(self)), handlers_(std::move(handlers)),
      link_limit_(link_limit)
{}

void acceptor::start()
{
    accept();
}

void acceptor::stop()
{
    stopped_ = true;
    handlers_ = {};
    boost::system::error_code ignored;
    listener_.close(ignored);
    timer_.cancel();
    for (const auto& open : std::exchange(links_, {}))
        open->abandon();
}

void acceptor::accept()
{
    listener_.async_accept(
        [self = shared_from_this()](
            const boost::system::error_code& code, tcp::socket socket) {
            if (self->stopped_)
                return;
            if (code) {
                self->retry_later();
                return;
            }
            self->on_accepted(std::move(socket));
            self->accept();
        });
}

void acceptor::on_accepted(tcp::socket socket)
{
    if (links_.size() >= link_limit_) {
        ++refused_;
        return;
    }
    auto created =
        link::create(std::move(socket), options_, self_(), make_handlers());
    if (!created)
        return;
    links_.insert(*created);
    (*created)->start();
}

void acceptor::retry_later()
{
    timer_.expires_after(accept_retry_delay);
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& code) {
            if (!code && !self->stopped_)
                self->accept();
        });
}

link_handlers acceptor::make_handlers()
{
    const auto weak = weak_from_this();
    return {
        .on_open =
            [weak](const std::shared_ptr<link>& opened, const hello& peer) {
                const auto self = weak.lock();
                if (self && self->handlers_.on_open)
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
                if (!self)
                    return;
                self->links_.erase(closed);
                if (self->handlers_.on_close)
                    self->handlers_.on_close(closed, reason);
            },
        .on_sent =
            [weak](
                const link& sender, std::string_view kind, std::size_t bytes) {
                const auto self = weak.lock();
                if (self && self->handlers_.on_sent)
                    self->handlers_.on_sent(sender, kind, bytes);
            }};
}

} // namespace godwit::wire
