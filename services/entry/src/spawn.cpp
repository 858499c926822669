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

// A coroutine that fails at once each time must not keep the processor busy.
constexpr core::duration restart_delay = std::chrono::seconds(1);

std::string message_of(const std::exception_ptr& failure)
{
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception& known) {
        return known.what();
    } catch (...) {
        return "unknown exception";
    }
}

// Without this log line nothing would show that the coroutine ended: asio's
// `detached` drops the exception.
void log_failed(const std::string& name, const std::exception_ptr& failure)
{
    telemetry::log_event(
        telemetry::log_level::error,
        "entry",
        "coroutine_failed",
        {{"name", name}, {"cause", message_of(failure)}});
}

asio::awaitable<void> run_until_returned(
    asio::any_io_executor executor, std::string name, coroutine_factory factory)
{
    while (true) {
        std::exception_ptr failure;
        try {
            co_await factory();
        } catch (...) {
            failure = std::current_exception();
        }
        if (!failure)
            co_return;
        log_failed(name, failure);
        co_await async_sleep(executor, restart_delay);
    }
}

} // namespace

void spawn(
    const asio::any_io_executor& executor,
    std::string name,
    coroutine_factory factory,
    std::function<void()> on_end)
{
    asio::co_spawn(
        executor,
        std::move(factory),
        [name = std::move(name),
         on_end = std::move(on_end)](const std::exception_ptr& failure) {
            if (failure)
                log_failed(name, failure);
            if (on_end)
                on_end();
        });
}

void spawn_with_restart(
    const asio::any_io_executor& executor,
    std::string name,
    coroutine_factory factory)
{
    asio::co_spawn(
        executor,
        run_until_returned(executor, std::move(name), std::move(factory)),
        asio::detached);
}

} // namespace godwit::entry
