#pragma once

#include <godwit/telemetry/bounded_sink.hpp>

#include <log4cxx/appenderskeleton.h>

#include <string>

namespace godwit::telemetry {

/// A log4cxx appender that writes to a bounded sink.
class sink_appender : public log4cxx::AppenderSkeleton
{
public:
    sink_appender(
        const log4cxx::LayoutPtr& layout,
        int descriptor,
        bounded_sink_limits limits);

    void close() override {}

    [[nodiscard]] bool requiresLayout() const override { return true; }

protected:
    void append(
        const log4cxx::spi::LoggingEventPtr& event,
        log4cxx::helpers::Pool& pool) override;

private:
    // The base class of liblog4cxx 1.0 does not keep the layout that it gets.
    log4cxx::LayoutPtr layout_;
    bounded_sink sink_;
};

} // namespace godwit::telemetry
