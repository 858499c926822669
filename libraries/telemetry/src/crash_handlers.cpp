#include <godwit/telemetry/crash_handlers.hpp>

#include <godwit/telemetry/log.hpp>

#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <string>
#include <string_view>

namespace godwit::telemetry {

namespace {

constexpr std::array fatal_signals{SIGABRT, SIGSEGV, SIGBUS, SIGFPE, SIGILL};

// The start of the log line, built in advance because a signal handler must not
// allocate memory.
std::string line_prefix; // NOLINT(cert-err58-cpp)

void write_all(std::string_view text)
{
    // A failure to write the last line cannot be reported.
    [[maybe_unused]] const auto written =
        ::write(STDOUT_FILENO, text.data(), text.size());
}

extern "C" void log_signal(int number)
{
    constexpr int base = 10;
    const std::array digits{
        static_cast<char>('0' + number / base),
        static_cast<char>('0' + number % base),
        '\n'};
    write_all(line_prefix);
    write_all(std::string_view(digits.data(), digits.size()));
    // The process still ends by this signal, as without the handler.
    std::signal(number, SIG_DFL);
    std::raise(number);
}

std::string describe_exception()
{
    const auto pending = std::current_exception();
    if (!pending)
        return "terminated without an exception";
    try {
        std::rethrow_exception(pending);
    } catch (const std::exception& thrown) {
        return thrown.what();
    } catch (...) {
        return "an exception of an unknown type";
    }
}

[[noreturn]] void log_exception()
{
    log_event(
        log_level::error,
        "process",
        "uncaught",
        {{"cause", describe_exception()}});
    std::abort();
}

} // namespace

void install_crash_handlers(
    const core::host_name& host, const core::zone_name& zone)
{
    line_prefix = "level=ERROR component=process host=" + host.value() +
                  " zone=" + zone.value() + " event=fatal signal=";
    for (const int number : fatal_signals)
        std::signal(number, &log_signal);
    std::set_terminate(&log_exception);
}

} // namespace godwit::telemetry
