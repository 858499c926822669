#pragma once

#include <godwit/core/time.hpp>

namespace godwit::wire {

/// Waits between tries: doubled from `first` up to `most`, each drawn evenly
/// from its upper half so that many clients do not come back together.
struct backoff_options
{
    core::duration first = std::chrono::milliseconds(50);
    core::duration most = std::chrono::seconds(2);

    friend bool
    operator==(const backoff_options&, const backoff_options&) = default;
};

} // namespace godwit::wire
