#pragma once

#include <cstdint>

namespace godwit::wire {

/// The kind of a backend server.
enum class server_kind : std::uint8_t
{
    engine, ///< A model engine: batches, streams and resumes generations.
    plain,  ///< A plain service: one response per call.
};

} // namespace godwit::wire
