#pragma once

#include <godwit/core/time.hpp>
#include <godwit/load/answer_fault.hpp>
#include <godwit/load/request_class.hpp>
#include <godwit/load/request_outcome.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace godwit::load {

/// What became of one request.
struct request_record
{
    request_class kind = request_class::long_stream;
    request_outcome outcome = request_outcome::broken;
    answer_fault fault = answer_fault::none;
    std::string reason; ///< Of an outcome other than completed.
    std::string detail; ///< For people, where something is wrong.
    std::uint64_t tokens = 0;
    std::uint64_t reconnects = 0;
    /// The longest silence while the caller waited.
    core::duration stall{};
    /// From the sending to the first text; nothing when none came.
    std::optional<core::duration> first_text;
    /// Between one event with text and the next.
    std::vector<core::duration> gaps;
};

} // namespace godwit::load
