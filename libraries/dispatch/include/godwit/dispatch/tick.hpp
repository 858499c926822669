#pragma once

namespace godwit::dispatch {

/// Time passed. Expected every 50 ms or so while requests are queued.
struct tick
{
    friend bool operator==(const tick&, const tick&) = default;
};

} // namespace godwit::dispatch
