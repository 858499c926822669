#include "server_state.hpp"

#include "connection.hpp"

#include <godwit/core/timer.hpp>
#include <godwit/http/listen.hpp>
#include <godwit/http/take_room.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <exception>
#include <limits>
#include <utility>
#include <vector>

namespace godwit::http {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Out of descriptors: waiting lets some connections end. An error that
// repeats at once would otherwise spin.
constexpr std::chrono::milliseconds accept_pause{50};

// How often a connection asks whether those have ended that were told to make
// room for it.
constexpr std::chrono::milliseconds place_interval{2};

// Connections beyond the limit that may be told so at one time; the ones
// after these are closed without a word.
constexpr std::size_t refusals_at_once = 64;

std::shared_ptr<memory::client_account> default_account()
{
    memory::account_limits limits;
    limits.total = {
        default_account_bytes, std::numeric_limits<std::size_t>::max()};
    return memory::client_account::create(limits);
}

} // namespace

server_state::server_state(
    asio::io_context& context,
    server_settings settings,
    exchange_handler handler)
    : context_(context), settings_(std::move(settings)),
      handler_(std::move(handler)),
      account_(settings_.account ? settings_.account : default_account()),
      acceptor_(asio::make_strand(context))
{}

core::result<void> server_state::listen()
{
    settings_.address = GODWIT_TRY(
        http::listen(acceptor_, settings_.address, connection::kernel_buffers));
    return {};
}

void server_state::start()
{
    asio::co_spawn(
        acceptor_.get_executor(),
        [kept = shared_from_this()]() -> asio::awaitable<void> {
            co_await kept->accept_loop();
        },
        asio::detached);
}

asio::awaitable<void> server_state::accept_loop()
{
    while (acceptor_.is_open()) {
        tcp::socket socket(asio::make_strand(context_));
        boost::system::error_code failure;
        co_await acceptor_.async_accept(
            socket, asio::redirect_error(asio::use_awaitable, failure));
        if (!failure) {
            co_await admit_guarded(std::move(socket));
            continue;
        }
        if (!acceptor_.is_open())
            break;
        core::timer pause(acceptor_.get_executor(), accept_pause);
        co_await pause.async_wait(
            asio::redirect_error(asio::use_awaitable, failure));
    }
}

// A connection that cannot be taken must not end the accepting of others.
asio::awaitable<void> server_state::admit_guarded(tcp::socket socket)
{
    try {
        // Nothing was read, so that the caller may repeat any request
        // elsewhere.
        if (sheds_connections_) {
            ++shed_connections_;
            co_return;
        }
        auto held =
            account_->open(memory::activity::idle, core::monotonic_now());
        const admission verdict = co_await find_place(held);
        admit(std::move(socket), std::move(held), verdict);
    } catch (const std::exception& fault) {
        report_fault("acceptor", fault.what());
    }
}

asio::awaitable<admission>
server_state::find_place(memory::client_account::holder& held)
{
    const core::time_point end = core::monotonic_now() + room_timeout;
    memory::grant answer = try_find_place(held);
    while (answer == memory::grant::pending && core::monotonic_now() < end) {
        core::timer pause(acceptor_.get_executor(), place_interval);
        boost::system::error_code ignored;
        co_await pause.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
        answer = try_find_place(held);
    }
    co_return answer == memory::grant::granted ? admission::accepted
                                               : admission::refused;
}

memory::grant server_state::try_find_place(memory::client_account::holder& held)
{
    const core::time_point now = core::monotonic_now();
    if (open_connections_ < limits().connections)
        return held.try_take(connection::fixed_amounts, now);
    return held.make_room({0, 1}, now);
}

void server_state::admit(
    tcp::socket socket, memory::client_account::holder held, admission verdict)
{
    if (verdict == admission::refused) {
        if (refused_connections_ >= refusals_at_once)
            return;
        ++refused_connections_;
    }
    ++open_connections_;
    const auto admitted = std::make_shared<connection>(
        std::move(socket), shared_from_this(), std::move(held), verdict);
    {
        const std::lock_guard lock(mutex_);
        connections_.emplace(admitted.get(), admitted);
    }
    admitted->start();
}

void server_state::remove(const connection& ended, admission verdict)
{
    {
        const std::lock_guard lock(mutex_);
        connections_.erase(&ended);
    }
    --open_connections_;
    if (verdict == admission::refused)
        --refused_connections_;
}

// Closing the acceptor would reset the connections that the operating system
// took already, whose callers may have sent their requests.
void server_state::accept_waiting()
{
    boost::system::error_code failure;
    acceptor_.non_blocking(true, failure);
    while (!failure) {
        tcp::socket socket(asio::make_strand(context_));
        acceptor_.accept(socket, failure);
        if (failure)
            break;
        auto held =
            account_->open(memory::activity::idle, core::monotonic_now());
        const bool has_place = try_find_place(held) == memory::grant::granted;
        admit(
            std::move(socket),
            std::move(held),
            has_place ? admission::accepted : admission::refused);
    }
}

// The copy keeps the connections alive outside the lock, which the end of
// one takes.
std::vector<std::shared_ptr<connection>> server_state::connections()
{
    std::vector<std::shared_ptr<connection>> open;
    const std::lock_guard lock(mutex_);
    open.reserve(connections_.size());
    for (const auto& [address, weak] : connections_) {
        if (auto one = weak.lock())
            open.push_back(std::move(one));
    }
    return open;
}

void server_state::close_acceptor()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

void server_state::set_limits(const server_limits& limits)
{
    const std::lock_guard lock(mutex_);
    settings_.limits = limits;
}

server_limits server_state::limits() const
{
    const std::lock_guard lock(mutex_);
    return settings_.limits;
}

void server_state::stop_accepting()
{
    draining_ = true;
    asio::post(acceptor_.get_executor(), [kept = shared_from_this()] {
        kept->accept_waiting();
        kept->close_acceptor();
    });
    for (const auto& open : connections())
        open->close_if_idle();
}

void server_state::reject_unread()
{
    for (const auto& open : connections())
        open->stop_reading();
}

void server_state::close()
{
    draining_ = true;
    asio::post(acceptor_.get_executor(), [kept = shared_from_this()] {
        kept->close_acceptor();
    });
    for (const auto& open : connections())
        open->close();
}

response server_state::answer_to(const rejection& refused) const
{
    response answer;
    if (settings_.on_rejection) {
        answer = settings_.on_rejection(refused);
    } else {
        answer.fields.set("Content-Type", "text/plain");
        answer.body = refused.detail + "; " + refused.remedy + "\n";
    }
    answer.status = refused.status;
    return answer;
}

void server_state::report_fault(
    std::string_view peer, std::string_view fault) const
{
    if (settings_.on_fault)
        settings_.on_fault(peer, fault);
}

} // namespace godwit::http
