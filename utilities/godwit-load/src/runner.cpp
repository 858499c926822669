#include <godwit/load/runner.hpp>

#include <godwit/load/caller_session.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <cstddef>

namespace godwit::load {

namespace asio = boost::asio;

namespace {

/// The state of one run.
class run
{
public:
    run(const run_settings& settings, const std::vector<planned_request>& plan)
        : settings_(settings), plan_(plan), records_(plan.size()), context_(1),
          begin_(core::monotonic_now())
    {}

    std::vector<request_record> operator()()
    {
        asio::co_spawn(context_, send_all(), asio::detached);
        context_.run();
        return std::move(records_);
    }

private:
    asio::awaitable<void> send_all()
    {
        asio::steady_timer timer(context_);
        const core::duration last =
            plan_.empty() ? core::duration::zero() : plan_.back().at;
        const core::time_point end = begin_ + last + settings_.patience;
        for (std::size_t at = 0; at < plan_.size(); ++at) {
            timer.expires_after(begin_ + plan_[at].at - core::monotonic_now());
            boost::system::error_code ignored;
            co_await timer.async_wait(
                asio::redirect_error(asio::use_awaitable, ignored));
            if (in_flight_ >= settings_.in_flight) {
                records_[at].kind = plan_[at].kind;
                records_[at].outcome = request_outcome::not_sent;
                continue;
            }
            ++in_flight_;
            asio::co_spawn(context_, send_one(at, end), asio::detached);
        }
    }

    asio::awaitable<void> send_one(std::size_t at, core::time_point end)
    {
        caller_session session(settings_, plan_[at], end);
        records_[at] = co_await session.run();
        --in_flight_;
    }

    const run_settings& settings_;
    const std::vector<planned_request>& plan_;
    std::vector<request_record> records_;
    asio::io_context context_;
    core::time_point begin_;
    std::size_t in_flight_ = 0;
};

} // namespace

std::vector<request_record>
run_plan(const run_settings& settings, const std::vector<planned_request>& plan)
{
    run current(settings, plan);
    return current();
}

} // namespace godwit::load
