#include <godwit/telemetry/log.hpp>

#include <godwit/telemetry/log_line.hpp>

#include "sink_appender.hpp"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <unistd.h>

#include <atomic>
#include <csignal>
#include <string>

namespace godwit::telemetry {

namespace {

constexpr std::string_view root_name = "godwit";

std::atomic<bool> started{false};

log4cxx::LevelPtr native(log_level level)
{
    switch (level) {
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warning:
        return log4cxx::Level::getWarn();
    case log_level::error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

// Escapes percent signs, which start the layout's conversion patterns.
std::string escape_percent(const std::string& text)
{
    std::string quoted;
    for (const char byte : text) {
        quoted += byte;
        if (byte == '%')
            quoted += byte;
    }
    return quoted;
}

log4cxx::AppenderPtr
make_appender(const log4cxx::LayoutPtr& layout, log_target target)
{
    if (target == log_target::standard_output)
        return std::make_shared<sink_appender>(
            layout, STDOUT_FILENO, bounded_sink_limits());
    return std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemErr());
}

} // namespace

void start_log(
    log_level lowest,
    const core::host_name& host,
    const core::zone_name& zone,
    log_target target)
{
    // If the reader ends, even between the sink's poll and its write, the write
    // must fail rather than end the process and every request that it serves.
    std::signal(SIGPIPE, SIG_IGN);
    const std::string pattern =
        "time=%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p component=%c{1} host=" +
        escape_percent(host.value()) + " zone=" + escape_percent(zone.value()) +
        " %m%n";
    const auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
    const log4cxx::AppenderPtr appender = make_appender(layout, target);
    const auto root = log4cxx::Logger::getLogger(std::string(root_name));
    root->setAdditivity(false);
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(native(lowest));
    started.store(true, std::memory_order_release);
}

void log_event(
    log_level level,
    std::string_view component,
    std::string_view event,
    std::initializer_list<log_field> fields)
{
    if (!started.load(std::memory_order_acquire))
        return;
    const auto logger = log4cxx::Logger::getLogger(
        std::string(root_name) + "." + std::string(component));
    const auto native_level = native(level);
    if (!logger->isEnabledFor(native_level))
        return;
    logger->forcedLog(native_level, log_line(event, fields));
}

} // namespace godwit::telemetry
