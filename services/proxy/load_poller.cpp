#include "load_poller.hpp"

#include <godwit/http/fetch.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace godwit::proxy {

namespace asio = boost::asio;

namespace {

constexpr unsigned ok = 200;
constexpr std::size_t report_bytes = std::size_t{64} * 1024;

asio::awaitable<core::result<load_report>> fetch_load(
    http::connection_pool& connections,
    http::endpoint server,
    core::duration timeout)
{
    http::request question;
    question.target = "/load";
    const auto answer = co_await http::fetch(
        connections, server, question, {timeout, report_bytes});
    if (!answer)
        co_return tl::unexpected(answer.error().cause);
    if (answer->status != ok)
        co_return core::fail(
            core::error_kind::unavailable,
            "GET /load is answered with " + std::to_string(answer->status),
            "check that the server is a backend server");
    co_return load_report::parse(answer->body);
}

} // namespace

load_poller::load_poller(
    asio::io_context& traffic,
    asio::any_io_executor control,
    const backend_settings& settings,
    std::uint64_t seed,
    listener on_answer)
    : control_(std::move(control)), settings_(settings), random_(seed),
      on_answer_(std::move(on_answer)),
      connections_(http::connection_pool::create(
          asio::make_strand(traffic), http::connection_pool_limits{})),
      self_(std::make_shared<load_poller*>(this))
{}

load_poller::~load_poller()
{
    *self_ = nullptr;
}

void load_poller::set_servers(const std::set<core::server_address>& servers)
{
    std::erase_if(beats_, [&servers](const auto& each) {
        return !servers.contains(each.first);
    });
    for (const auto& server : servers) {
        // A new server is asked at once: nothing is known of it.
        if (beats_.try_emplace(server).second)
            ask(server);
    }
}

bool load_poller::has_heard_of_all() const
{
    return std::all_of(beats_.begin(), beats_.end(), [](const auto& each) {
        return each.second.is_heard;
    });
}

// What the questions cost in all is bounded, whatever the number of servers.
core::duration load_poller::interval() const
{
    const auto in_all =
        core::duration(std::chrono::seconds(1)) *
        static_cast<core::duration::rep>(beats_.size()) /
        static_cast<core::duration::rep>(settings_.polls_per_second);
    return std::max(settings_.load_poll, in_all);
}

void load_poller::tick(core::time_point now)
{
    const auto span = interval();
    for (auto& [server, next] : beats_) {
        if (next.due > now)
            continue;
        // Between half and one and a half of the interval, so that the
        // entry hosts do not fall into step.
        const auto spread = static_cast<std::uint64_t>(span.count());
        next.due = now + span / 2 +
                   core::duration(
                       static_cast<core::duration::rep>(random_.below(spread)));
        ask(server);
    }
}

void load_poller::ask(const core::server_address& server)
{
    if (!asked_.insert(server).second)
        return;
    auto tell = [self = self_, control = control_, server](
                    core::result<load_report> answer) {
        asio::post(control, [self, server, answer = std::move(answer)] {
            load_poller* const poller = *self;
            if (poller == nullptr)
                return;
            poller->asked_.erase(server);
            const auto found = poller->beats_.find(server);
            if (found != poller->beats_.end())
                found->second.is_heard = true;
            poller->on_answer_(server, answer);
        });
    };
    const auto address = http::endpoint::parse(server.value());
    if (!address) {
        tell(tl::unexpected(address.error()));
        return;
    }
    asio::co_spawn(
        connections_->executor(),
        [connections = connections_,
         address = *address,
         timeout = settings_.load_timeout,
         tell = std::move(tell)]() -> asio::awaitable<void> {
            tell(co_await fetch_load(*connections, address, timeout));
        },
        asio::detached);
}

} // namespace godwit::proxy
