#pragma once

#include <cstdint>

namespace godwit::wire {

/// What a backend server is.
enum class server_kind : std::uint8_t
{
    engine, ///< A model engine: batches, streams, resumes.
    plain,  ///< A plain service: one answer a call.
};

} // namespace godwit::wire
