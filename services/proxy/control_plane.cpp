#include "control_plane.hpp"

#include "scheduler_dump.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

namespace godwit::proxy {

namespace asio = boost::asio;

namespace {

// Dispatch wants to hear of time and tokens several times within the span
// in which a caller notices a wait.
constexpr std::chrono::milliseconds beat_interval{20};
constexpr std::chrono::milliseconds membership_interval{100};

membership::pool_settings pool_settings(const proxy_settings& from)
{
    membership::pool_settings settings;
    settings.host = from.host;
    settings.zone = from.zone;
    settings.subset_limit = from.backend.subset;
    return settings;
}

} // namespace

core::result<std::unique_ptr<control_plane>> control_plane::create(
    asio::io_context& control,
    asio::io_context& traffic,
    const proxy_settings& settings,
    std::uint64_t seed,
    outputs to)
{
    auto dispatch_settings = settings.dispatch;
    dispatch_settings.seed = seed;
    auto scheduler = GODWIT_TRY(dispatch::scheduler::create(dispatch_settings));
    auto pool =
        GODWIT_TRY(membership::pool::create(pool_settings(settings), seed));
    return std::unique_ptr<control_plane>(new control_plane(
        control,
        traffic,
        settings,
        seed,
        std::move(to),
        std::move(scheduler),
        std::move(pool)));
}

control_plane::control_plane(
    asio::io_context& control,
    asio::io_context& traffic,
    const proxy_settings& settings,
    std::uint64_t seed,
    outputs to,
    dispatch::scheduler scheduler,
    membership::pool pool)
    : control_(control), settings_(settings), to_(std::move(to)),
      scheduler_(std::move(scheduler)), pool_(std::move(pool)),
      poller_(
          traffic,
          control.get_executor(),
          settings.backend,
          seed,
          [this](const auto& server, const auto& answer) {
              on_load(server, answer);
          }),
      timer_(control), random_(seed)
{}

void control_plane::start()
{
    asio::post(control_, [this] { wait_for_beat(); });
    if (!settings_.fixed.servers.empty())
        take_servers({});
}

void control_plane::stop()
{
    asio::post(control_, [this] {
        stopped_ = true;
        timer_.cancel();
    });
}

void control_plane::wait_for_beat()
{
    if (stopped_)
        return;
    timer_.expires_after(beat_interval);
    timer_.async_wait([this](const boost::system::error_code& failure) {
        if (failure)
            return;
        beat(core::monotonic_now());
        wait_for_beat();
    });
}

void control_plane::beat(core::time_point now)
{
    auto counts = to_.ledger.take();
    if (!counts.empty())
        run(dispatch::tokens_arrived{std::move(counts)});
    if (!waiting_.empty())
        run(dispatch::tick{});
    if (now >= membership_due_) {
        membership_due_ = now + membership_interval;
        run(membership::clock_ticked{});
        if (to_.on_time)
            to_.on_time(now);
    }
    explore(now);
    poller_.tick(now);
    tell_if_ready(now);
}

// Engines are eligible once they have said what they hold. Before they had
// the time to, requests would be refused without need.
void control_plane::tell_if_ready(core::time_point now)
{
    if (!ready_at_)
        return;
    const bool servers_known = !listed_.empty() && poller_.has_heard_of_all();
    if (!servers_known && now < *ready_at_)
        return;
    ready_at_.reset();
    if (to_.on_ready)
        to_.on_ready();
}

void control_plane::run(const dispatch::event& what)
{
    for (const auto& action : scheduler_.handle(what, core::monotonic_now()))
        std::visit([this](const auto& one) { on(one); }, action);
}

void control_plane::run(const membership::event& what)
{
    for (const auto& action : pool_.handle(what, core::monotonic_now()))
        std::visit([this](const auto& one) { on(one); }, action);
}

void control_plane::ask(
    dispatch::request_arrived arrival, dispatch_listener listener)
{
    asio::post(
        control_,
        [this,
         arrival = std::move(arrival),
         listener = std::move(listener)]() mutable {
            waiting_.emplace(arrival.id, std::move(listener));
            allow_last_servers(arrival);
            run(std::move(arrival));
        });
}

// A retry prefers the servers that did not fail it. Where every one did, as
// with a service of one server, another try there is better than none.
void control_plane::allow_last_servers(dispatch::request_arrived& arrival) const
{
    if (arrival.excluded.empty())
        return;
    const auto snapshot = pool_.snapshot();
    const auto& pool = snapshot->pool_of(arrival.service);
    const auto is_other = [&arrival](const auto& server) {
        return std::find(
                   arrival.excluded.begin(),
                   arrival.excluded.end(),
                   server.address) == arrival.excluded.end();
    };
    const bool has_other =
        std::any_of(pool.own_zone.begin(), pool.own_zone.end(), is_other) ||
        std::any_of(pool.other_zones.begin(), pool.other_zones.end(), is_other);
    if (!has_other)
        arrival.excluded.clear();
}

void control_plane::leave(core::request_id id)
{
    asio::post(control_, [this, id = std::move(id)] {
        // A grant that was on its way meanwhile is given back as a start
        // that did not happen; dispatch ignores what does not fit.
        if (waiting_.erase(id) > 0)
            run(dispatch::request_left{id});
        else
            run(dispatch::start_failed{id});
    });
}

void control_plane::tell(dispatch::event what)
{
    asio::post(control_, [this, what = std::move(what)] { run(what); });
}

void control_plane::describe(std::function<void(boost::json::object)> listener)
{
    asio::post(control_, [this, listener = std::move(listener)] {
        listener(state());
    });
}

void control_plane::answer(
    const core::request_id& id, const dispatch_answer& answer)
{
    const auto found = waiting_.find(id);
    if (found == waiting_.end())
        return;
    const auto listener = std::move(found->second);
    waiting_.erase(found);
    listener(answer);
}

void control_plane::on(const dispatch::start_request& what)
{
    answer(what.id, what);
}

void control_plane::on(const dispatch::refuse_request& what)
{
    answer(what.id, what);
}

void control_plane::on(const dispatch::raise_priority&)
{
    // Engines take a priority with the request only.
}

boost::json::object control_plane::state() const
{
    boost::json::object state;
    if (catalogue_)
        state["catalogue"] = {
            {"offset", catalogue_->next_offset()},
            {"hash", catalogue_->hash()},
            {"static", catalogue_is_static_},
            {"organisations", catalogue_->organisations().size()},
            {"services", catalogue_->services().size()}};
    else
        state["catalogue"] = nullptr;
    state["entry_hosts"] = entry_hosts_;
    state["waiting"] = waiting_.size();
    state["dispatch"] = scheduler_dump(scheduler_.state(), pool_);
    return state;
}

} // namespace godwit::proxy
