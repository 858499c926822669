// The life's side: its events in order, its actions on dispatch and timers.

#include "request_session.hpp"

#include <godwit/core/hash.hpp>
#include <godwit/http/fetch.hpp>
#include <godwit/telemetry/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

namespace godwit::proxy {

namespace asio = boost::asio;

namespace {

// Engines count their own tokens; until one says, four bytes are taken for
// a token, as is usual for the languages served.
constexpr std::size_t bytes_per_token = 4;

// Prompts that share this much of their beginning are worth sending to one
// engine, whose cache then holds it.
constexpr std::size_t prefix_bytes = 256;

std::uint64_t prefix_hash(std::string_view prompt)
{
    if (prompt.size() < prefix_bytes)
        return 0;
    return core::stable_hash(prompt.substr(0, prefix_bytes));
}

dispatch::request_kind dispatch_kind(request::request_kind kind)
{
    return kind == request::request_kind::generation
               ? dispatch::request_kind::generation
               : dispatch::request_kind::call;
}

request::refusal refusal_of(dispatch::refusal_reason reason)
{
    switch (reason) {
    case dispatch::refusal_reason::queue_full:
    case dispatch::refusal_reason::deadline:
        return request::refusal::crowded;
    case dispatch::refusal_reason::no_backend_server:
        return request::refusal::no_server;
    }
    return request::refusal::crowded;
}

} // namespace

core::result<std::shared_ptr<request_session>> request_session::create(
    const executor_type& executor,
    session_services& services,
    core::request_id id,
    caller_request request)
{
    const auto now = core::monotonic_now();
    auto budget = services.budgets.find_or_add(*request.service, now);
    auto life = GODWIT_TRY(request::life::create(
        services.settings.life,
        id,
        budget->budget,
        core::stable_hash(id.value())));
    return std::shared_ptr<request_session>(new request_session(
        executor,
        services,
        std::move(id),
        std::move(request),
        std::move(budget),
        std::move(life),
        now));
}

request_session::request_session(
    const executor_type& executor,
    session_services& services,
    core::request_id id,
    caller_request request,
    std::shared_ptr<shared_budget> budget,
    request::life life,
    core::time_point now)
    : executor_(executor), services_(services), id_(std::move(id)),
      request_(std::move(request)), budget_(std::move(budget)),
      life_(std::move(life)), text_(id_, request_.service->name),
      metrics_(
          services.metrics,
          request_.service->name,
          request_.request_class,
          now),
      writer_(executor), accepted_at_(now)
{}

asio::awaitable<void> request_session::serve(http::exchange& with)
{
    const auto self = shared_from_this();
    handle(first_event());
    const auto ending = co_await writer_.run(with);
    caller_left_ = ending != answer_ending::whole;
    switch (ending) {
    case answer_ending::whole:
        handle(request::delivered_to_caller{});
        break;
    case answer_ending::caller_gone:
        handle(request::caller_gone{});
        break;
    case answer_ending::caller_slow:
        handle(request::caller_slow{});
        break;
    case answer_ending::cut:
        break;
    }
}

void request_session::post(request::event what)
{
    asio::post(executor_, [self = shared_from_this(), what = std::move(what)] {
        self->handle(what);
    });
}

boost::json::object request_session::describe() const
{
    const auto age = core::monotonic_now() - accepted_at_;
    return {
        {"request", id_.value()},
        {"organisation", request_.organisation->name.value()},
        {"service", request_.service->name.value()},
        {"class", request_.request_class.value()},
        {"age_ms",
         std::chrono::duration_cast<std::chrono::milliseconds>(age).count()}};
}

request::accepted request_session::first_event() const
{
    request::accepted event;
    event.organisation = request_.organisation->name;
    event.service = request_.service->name;
    event.request_class = request_.request_class;
    event.kind = request_.kind;
    event.mode = request_.mode;
    event.repeat = request_.repeat;
    event.dedup = request_.service->deduplicates
                      ? request::deduplication::by_service
                      : request::deduplication::none;
    event.key = request_.key;
    if (request_.deadline)
        event.deadline = accepted_at_ + *request_.deadline;
    event.resume = request_.resume;
    return event;
}

// An action may bring about the next event at once; it waits until the
// actions before it are done.
void request_session::handle(const request::event& what)
{
    pending_.push_back(what);
    if (handling_)
        return;
    handling_ = true;
    while (!pending_.empty()) {
        const request::event next = std::move(pending_.front());
        pending_.pop_front();
        std::vector<request::action> actions;
        {
            const std::scoped_lock lock(budget_->mutex);
            actions = life_.handle(next, core::monotonic_now());
        }
        for (const auto& action : actions)
            std::visit([this](const auto& one) { on(one); }, action);
    }
    handling_ = false;
    end_if_finished();
}

void request_session::end_if_finished()
{
    if (ended_ || !life_.finished())
        return;
    ended_ = true;
    for (auto& timer : timers_)
        timer.reset();
    metrics_.finished(*life_.result(), core::monotonic_now());
    log_end();
    services_.registry.remove(id_);
}

void request_session::log_end()
{
    const auto lasted = core::monotonic_now() - accepted_at_;
    telemetry::log_event(
        telemetry::log_level::info,
        "proxy",
        "request_ended",
        {{"request", id_},
         {"organisation", request_.organisation->name},
         {"service", request_.service->name},
         {"class", request_.request_class},
         {"outcome", core::to_string(*life_.result())},
         {"reason", failed_because_.empty() ? "none" : failed_because_},
         {"server", server_},
         {"tokens", life_.delivered()},
         {"draining", life_.draining()},
         {"ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(lasted)
              .count()}});
}

std::uint32_t request_session::estimated_prompt_tokens() const noexcept
{
    return static_cast<std::uint32_t>(
        request_.prompt.size() / bytes_per_token + 1);
}

core::request_id request_session::dispatch_id(std::uint32_t ask) const
{
    return core::request_id(id_.value() + "/" + std::to_string(ask));
}

void request_session::on(const request::ask_dispatch& what)
{
    dispatch::request_arrived arrival;
    arrival.id = dispatch_id(what.ask);
    arrival.organisation = request_.organisation->name;
    arrival.service = request_.service->name;
    arrival.class_of_service = request_.request_class;
    arrival.kind = dispatch_kind(request_.kind);
    arrival.prompt_tokens = estimated_prompt_tokens();
    arrival.max_tokens = request_.max_tokens;
    arrival.prefix_hash = prefix_hash(request_.prompt);
    if (request_.deadline)
        arrival.deadline = accepted_at_ + *request_.deadline;
    arrival.excluded = what.excluded;
    dispatch_state_ = dispatch_state::asked;
    dispatch_ask_ = what.ask;
    services_.control.ask(
        std::move(arrival),
        [weak = weak_from_this(), executor = executor_, ask = what.ask](
            const dispatch_answer& answer) {
            asio::post(executor, [weak, ask, answer] {
                if (const auto self = weak.lock())
                    self->on_dispatch_answer(ask, answer);
            });
        });
}

void request_session::on_dispatch_answer(
    std::uint32_t ask, const dispatch_answer& answer)
{
    if (const auto* start = std::get_if<dispatch::start_request>(&answer)) {
        dispatch_state_ = dispatch_state::granted;
        server_ = start->server.value();
        handle(request::granted{ask, start->server, start->priority});
        return;
    }
    const auto& refused = std::get<dispatch::refuse_request>(answer);
    dispatch_state_ = dispatch_state::none;
    handle(request::dispatch_refused{
        ask, refusal_of(refused.reason), refused.retry_after});
}

void request_session::tell_dispatch_of_start()
{
    if (dispatch_state_ != dispatch_state::granted)
        return;
    dispatch_state_ = dispatch_state::started;
    services_.control.tell(
        dispatch::request_started{dispatch_id(dispatch_ask_)});
}

void request_session::on(const request::leave_dispatch& what)
{
    const auto id = dispatch_id(what.ask);
    switch (std::exchange(dispatch_state_, dispatch_state::none)) {
    case dispatch_state::none:
        break;
    case dispatch_state::asked:
        services_.control.leave(id);
        break;
    case dispatch_state::granted:
        services_.control.tell(dispatch::start_failed{id});
        break;
    case dispatch_state::started:
        services_.control.tell(dispatch::generation_ended{id, end_reason()});
        break;
    }
}

dispatch::end_reason request_session::end_reason() const noexcept
{
    if (finish_reason_ == "length")
        return dispatch::end_reason::length_limit;
    const bool is_whole = life_.result() == core::outcome::completed ||
                          life_.current_step() == request::step::finishing ||
                          life_.current_step() == request::step::last_token;
    if (is_whole)
        return dispatch::end_reason::stop;
    return caller_left_ ? dispatch::end_reason::cancelled
                        : dispatch::end_reason::lost;
}

void request_session::on(const request::note_preemption& what)
{
    metrics_.preempted();
    services_.control.tell(
        dispatch::generation_preempted{dispatch_id(what.ask), what.count});
}

void request_session::on(const request::set_timer& what)
{
    auto& slot = timers_.at(static_cast<std::size_t>(what.which));
    if (!slot)
        slot.emplace(executor_);
    slot->expires_at(what.at);
    slot->async_wait([weak = weak_from_this(), which = what.which](
                         const boost::system::error_code& failure) {
        if (failure)
            return;
        if (const auto self = weak.lock())
            self->fire(which);
    });
}

// A silence that this side brought about by not reading, because the caller
// does not, is no stall of the engine.
void request_session::fire(request::timer which)
{
    if (ended_)
        return;
    if (which == request::timer::stall && writer_.is_holding_back()) {
        on(request::set_timer{
            which, core::monotonic_now() + services_.settings.life.stall_wait});
        return;
    }
    handle(request::timer_fired{which});
}

void request_session::on(const request::report_server& what)
{
    if (what.seen == request::observation::crossed)
        metrics_.crossed();
    services_.control.report(what.server, what.seen);
}

void request_session::on(const request::record_decision& what)
{
    auto record = what.record;
    if (record.what == request::decision::failed)
        failed_because_ = record.why;
    record.catalogue_offset = services_.snapshots.get()->catalogue_offset;
    services_.explanations.add(std::move(record));
}

} // namespace godwit::proxy
