#include <godwit/entry/spawn.hpp>

#include <godwit/core/time.hpp>
#include <godwit/entry/async_sleep.hpp>
#include <godwit/telemetry/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <chrono>
#include <exception>
#include <utility>

namespace godwit::entry {

namespace asio = boost::asio;

namespace {

// One that fails at once each time must not keep the processor busy.
constexpr core::duration restart_pause = std::chrono::seconds(1);

std::string text_of(const std::exception_ptr& failure)
{
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception& known) {
        return known.what();
    } catch (...) {
        return "no standard exception";
    }
}

// Without this line nobody would see that something has ended: asio's
// `detached` drops the exception.
void log_failed(const std::string& name, const std::exception_ptr& failure)
{
    telemetry::log_event(
        telemetry::log_level::error,
        "entry",
        "coroutine_failed",
        {{"name", name}, {"cause", text_of(failure)}});
}

asio::awaitable<void> run_on(
    asio::any_io_executor executor, std::string name, coroutine_factory begin)
{
    while (true) {
        std::exception_ptr failure;
        try {
            co_await begin();
        } catch (...) {
            failure = std::current_exception();
        }
        if (!failure)
            co_return;
        log_failed(name, failure);
        co_await async_sleep(executor, restart_pause);
    }
}

} // namespace

void spawn(
    const asio::any_io_executor& executor,
    std::string name,
    coroutine_factory begin,
    std::function<void()> at_end)
{
    asio::co_spawn(
        executor,
        std::move(begin),
        [name = std::move(name),
         at_end = std::move(at_end)](const std::exception_ptr& failure) {
            if (failure)
                log_failed(name, failure);
            if (at_end)
                at_end();
        });
}

void spawn_with_restart(
    const asio::any_io_executor& executor,
    std::string name,
    coroutine_factory begin)
{
    asio::co_spawn(
        executor,
        run_on(executor, std::move(name), std::move(begin)),
        asio::detached);
}

} // namespace godwit::entry
