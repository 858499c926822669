#include <godwit/entry/tunnel_server.hpp>

#include <godwit/core/timer.hpp>
#include <godwit/entry/async_sleep.hpp>
#include <godwit/entry/spawn.hpp>
#include <godwit/http/connect_request.hpp>
#include <godwit/http/keepalive.hpp>
#include <godwit/http/listen.hpp>
#include <godwit/telemetry/log.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>

namespace godwit::entry {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using telemetry::log_event;
using telemetry::log_level;

namespace {

constexpr std::string_view component = "tunnels";
constexpr std::size_t max_tunnels = 400;
constexpr std::size_t buffer_bytes = std::size_t{8} * 1024;
constexpr http::socket_buffers kernel_buffers{std::size_t{32} * 1024, 0};
// Of a tunnel's two connections.
constexpr memory::amounts tunnel_amounts{
    2 * (kernel_buffers.receive_bytes + buffer_bytes), 2};
constexpr core::duration head_timeout = std::chrono::seconds(2);
constexpr core::duration connect_timeout = std::chrono::milliseconds(400);
constexpr core::duration accept_retry_delay = std::chrono::milliseconds(100);

constexpr std::string_view opened = "HTTP/1.1 200 Connection Established";
constexpr std::string_view bad_request = "HTTP/1.1 400 Bad Request";
constexpr std::string_view forbidden = "HTTP/1.1 403 Forbidden";
constexpr std::string_view bad_gateway = "HTTP/1.1 502 Bad Gateway";
constexpr std::string_view unavailable = "HTTP/1.1 503 Service Unavailable";

/// Both connections of a tunnel.
struct tunnel
{
    tunnel(tcp::socket accepted, memory::client_account& account)
        : held(account.open(memory::activity::serving, core::monotonic_now())),
          host(std::move(accepted)), server(host.get_executor())
    {}

    void close()
    {
        error_code ignored;
        host.close(ignored);
        server.close(ignored);
    }

    memory::client_account::holder held;
    tcp::socket host; ///< To the entry host that opened the tunnel.
    tcp::socket server;
};

/// Closes a tunnel's connection to the server after a time, unless it is
/// destroyed before.
class connect_deadline
{
public:
    connect_deadline(std::shared_ptr<tunnel> guarded, core::duration timeout)
        : timer_(guarded->server.get_executor(), timeout)
    {
        timer_.async_wait([guarded = std::move(guarded),
                           active = active_](const error_code& failure) {
            error_code ignored;
            if (!failure && *active)
                guarded->server.close(ignored);
        });
    }

    ~connect_deadline() { *active_ = false; }

    connect_deadline(const connect_deadline&) = delete;
    connect_deadline& operator=(const connect_deadline&) = delete;

private:
    // A handler that is already queued runs although the timer is cancelled.
    std::shared_ptr<bool> active_ = std::make_shared<bool>(true);
    core::timer timer_;
};

/// Forwards bytes until either connection ends. Returns how the source ended.
asio::awaitable<error_code> forward(tcp::socket& from, tcp::socket& to)
{
    std::array<char, buffer_bytes> buffer{};
    while (true) {
        error_code failure;
        const std::size_t size = co_await from.async_read_some(
            asio::buffer(buffer),
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return failure;
        co_await asio::async_write(
            to,
            asio::buffer(buffer.data(), size),
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return failure;
    }
}

// A response without a length ends with its connection, so that the end of the
// server's connection is forwarded as it was: a reset must not look like a
// complete response.
asio::awaitable<void> forward_responses(std::shared_ptr<tunnel> open)
{
    const error_code end = co_await forward(open->server, open->host);
    error_code ignored;
    if (end == asio::error::eof) {
        open->host.shutdown(tcp::socket::shutdown_send, ignored);
        co_return;
    }
    open->host.set_option(asio::socket_base::linger(true, 0), ignored);
    open->close();
}

} // namespace

class tunnel_server::state : public std::enable_shared_from_this<state>
{
public:
    state(
        const asio::any_io_executor& executor,
        handlers callbacks,
        std::shared_ptr<memory::client_account> account)
        : executor_(executor), listener_(executor),
          handlers_(std::move(callbacks)), account_(std::move(account)),
          address_(http::endpoint::parse("0.0.0.0:0").value())
    {}

    core::result<void> listen(const http::endpoint& address)
    {
        address_ = GODWIT_TRY(http::listen(listener_, address, kernel_buffers));
        return {};
    }

    void start()
    {
        spawn_with_restart(
            executor_,
            "tunnel_server",
            [kept = shared_from_this()]() -> asio::awaitable<void> {
                co_await kept->accept();
            });
    }

    void close()
    {
        error_code ignored;
        listener_.close(ignored);
    }

    [[nodiscard]] const http::endpoint& address() const noexcept
    {
        return address_;
    }

    [[nodiscard]] std::size_t open_tunnels() const noexcept
    {
        return open_tunnels_;
    }

private:
    asio::awaitable<void> accept()
    {
        while (listener_.is_open()) {
            error_code failure;
            tcp::socket accepted = co_await listener_.async_accept(
                asio::redirect_error(asio::use_awaitable, failure));
            if (failure && listener_.is_open())
                co_await async_sleep(executor_, accept_retry_delay);
            if (!failure)
                serve(std::make_shared<tunnel>(std::move(accepted), *account_));
        }
    }

    void serve(const std::shared_ptr<tunnel>& accepted)
    {
        ++open_tunnels_;
        spawn(
            executor_,
            "tunnel",
            [kept = shared_from_this(), accepted]() -> asio::awaitable<void> {
                co_await kept->run(accepted);
            },
            [kept = shared_from_this(), accepted] {
                accepted->close();
                --kept->open_tunnels_;
            });
    }

    asio::awaitable<void> run(std::shared_ptr<tunnel> accepted)
    {
        const std::string_view status = co_await open(accepted);
        const std::string head = std::string(status) + "\r\n\r\n";
        error_code failure;
        co_await asio::async_write(
            accepted->host,
            asio::buffer(head),
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure || status != opened)
            co_return;
        spawn(
            executor_,
            "tunnel_responses",
            [accepted]() -> asio::awaitable<void> {
                co_await forward_responses(accepted);
            });
        // The entry host closes its connection to abort a request, which the
        // server has to notice.
        co_await forward(accepted->host, accepted->server);
    }

    /// Returns the status line to respond with.
    asio::awaitable<std::string_view> open(std::shared_ptr<tunnel> accepted)
    {
        error_code failure;
        accepted->host.set_option(tcp::no_delay(true), failure);
        if (!failure)
            failure = http::enable_keepalive(accepted->host);
        if (failure)
            co_return unavailable;
        const auto server =
            co_await http::read_connect_target(accepted->host, head_timeout);
        if (!server)
            co_return bad_request;
        const tunnel_verdict verdict = has_room(*accepted)
                                           ? handlers_.judge(*server)
                                           : tunnel_verdict::unavailable;
        if (verdict == tunnel_verdict::unavailable)
            co_return unavailable;
        if (verdict == tunnel_verdict::unknown_server) {
            log_refused(*server, "the address is not one of a backend server");
            co_return forbidden;
        }
        accepted->server.open(http::to_tcp(*server).protocol(), failure);
        kernel_buffers.apply_to(accepted->server);
        const connect_deadline timeout(accepted, connect_timeout);
        co_await accepted->server.async_connect(
            http::to_tcp(*server),
            asio::redirect_error(asio::use_awaitable, failure));
        if (!failure)
            accepted->server.set_option(tcp::no_delay(true), failure);
        if (!failure)
            co_return opened;
        const bool is_late = failure == asio::error::operation_aborted;
        log_refused(
            *server, is_late ? "no response in time" : failure.message());
        handlers_.on_unreachable(*server);
        co_return bad_gateway;
    }

    [[nodiscard]] bool has_room(tunnel& accepted) const
    {
        return open_tunnels_ <= max_tunnels &&
               accepted.held.try_take(tunnel_amounts, core::monotonic_now()) ==
                   memory::grant::granted;
    }

    static void
    log_refused(const http::endpoint& server, std::string_view cause)
    {
        log_event(
            log_level::info,
            component,
            "tunnel_refused",
            {{"server", server.to_string()}, {"cause", cause}});
    }

    asio::any_io_executor executor_;
    tcp::acceptor listener_;
    handlers handlers_;
    std::shared_ptr<memory::client_account> account_;
    http::endpoint address_;
    std::size_t open_tunnels_ = 0;
};

core::result<std::unique_ptr<tunnel_server>> tunnel_server::create(
    const asio::any_io_executor& executor,
    const http::endpoint& address,
    handlers callbacks,
    std::shared_ptr<memory::client_account> account)
{
    auto shared = std::make_shared<state>(
        executor, std::move(callbacks), std::move(account));
    const auto listening = shared->listen(address);
    if (!listening)
        return tl::unexpected(listening.error());
    return std::unique_ptr<tunnel_server>(new tunnel_server(std::move(shared)));
}

tunnel_server::tunnel_server(std::shared_ptr<state> shared)
    : state_(std::move(shared))
{}

tunnel_server::~tunnel_server()
{
    state_->close();
}

void tunnel_server::start()
{
    state_->start();
}

const http::endpoint& tunnel_server::address() const noexcept
{
    return state_->address();
}

std::size_t tunnel_server::open_tunnels() const noexcept
{
    return state_->open_tunnels();
}

} // namespace godwit::entry
