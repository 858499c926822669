#pragma once

#include <godwit/core/time.hpp>
#include <godwit/load/request_class.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace godwit::load {

/// One request of a run, fixed before the run begins.
struct planned_request
{
    core::duration at{}; ///< From the run's begin.
    request_class kind = request_class::long_stream;
    std::uint64_t number = 0;
    std::size_t entry = 0; ///< Index of the entry host.
    std::size_t token = 0; ///< Index of the bearer token.
    std::string text;      ///< The prompt, or the body of a call.
    std::uint64_t max_tokens = 0;
    std::string key; ///< Idempotency key; empty where there is none.

    friend bool
    operator==(const planned_request&, const planned_request&) = default;
};

} // namespace godwit::load
