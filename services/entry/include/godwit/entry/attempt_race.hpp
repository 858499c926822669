#pragma once

#include <godwit/core/time.hpp>
#include <godwit/core/timer.hpp>
#include <godwit/entry/spawn.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace godwit::entry {

/// Attempts of one call that run at the same time, as detached coroutines: they
/// may outlive the race. Used on one executor.
template<class Result>
class attempt_race
{
public:
    using attempt = std::function<boost::asio::awaitable<Result>()>;

    explicit attempt_race(const boost::asio::any_io_executor& executor)
        : state_(std::make_shared<state>(executor))
    {}

    void start(attempt run)
    {
        ++state_->running;
        spawn(
            state_->ended.get_executor(),
            "attempt",
            [kept = state_,
             run = std::move(run)]() -> boost::asio::awaitable<void> {
                kept->results.push_back(co_await run());
            },
            // An attempt that throws ends without a result.
            [kept = state_] {
                --kept->running;
                kept->ended.cancel();
            });
    }

    /// Waits until an attempt has ended whose result was not taken, or until
    /// `end`.
    boost::asio::awaitable<void> wait(core::time_point end)
    {
        if (!state_->results.empty() || state_->running == 0)
            co_return;
        state_->ended.expires_at(end);
        boost::system::error_code error;
        co_await state_->ended.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, error));
    }

    /// Returns the next result, in the order in which the attempts ended.
    [[nodiscard]] std::optional<Result> take_result()
    {
        if (state_->results.empty())
            return std::nullopt;
        Result result = std::move(state_->results.front());
        state_->results.pop_front();
        return result;
    }

    [[nodiscard]] bool has_result() const noexcept
    {
        return !state_->results.empty();
    }

    [[nodiscard]] std::size_t running() const noexcept
    {
        return state_->running;
    }

private:
    struct state
    {
        explicit state(const boost::asio::any_io_executor& executor)
            : ended(executor)
        {}

        core::timer ended; ///< Cancelled when an attempt ends.
        std::deque<Result> results;
        std::size_t running = 0;
    };

    std::shared_ptr<state> state_;
};

} // namespace godwit::entry
