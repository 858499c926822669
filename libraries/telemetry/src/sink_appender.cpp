#include "sink_appender.hpp"

#include <log4cxx/layout.h>
#include <log4cxx/logger.h>
#include <log4cxx/spi/loggingevent.h>

namespace godwit::telemetry {

namespace {

std::string notice(std::uint64_t dropped_lines)
{
    return "event=log_lines_left_out count=" + std::to_string(dropped_lines) +
           "\n";
}

} // namespace

sink_appender::sink_appender(
    const log4cxx::LayoutPtr& layout,
    int descriptor,
    bounded_sink_limits limits)
    : AppenderSkeleton(layout), layout_(layout),
      sink_(descriptor, limits, &notice)
{}

void sink_appender::append(
    const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& pool)
{
    log4cxx::LogString line;
    layout_->format(line, event, pool);
    sink_.write(line, core::monotonic_now());
}

} // namespace godwit::telemetry
