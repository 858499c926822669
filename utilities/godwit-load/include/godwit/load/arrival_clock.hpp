#pragma once

#include <godwit/core/time.hpp>
#include <godwit/load/request_record.hpp>

#include <optional>

namespace godwit::load {

/// Measures what a caller waits for: the first text, the gaps, the longest
/// silence.
class arrival_clock
{
public:
    explicit arrival_clock(core::time_point sent) : sent_(sent), last_(sent) {}

    /// Text arrived.
    void text(core::time_point now, request_record& record);

    /// The request ended, well or not.
    void end(core::time_point now, request_record& record);

private:
    core::time_point sent_;
    core::time_point last_;
    bool has_text_ = false;
};

} // namespace godwit::load
