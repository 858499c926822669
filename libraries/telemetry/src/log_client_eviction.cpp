#include <godwit/telemetry/log_client_eviction.hpp>

#include <godwit/telemetry/log.hpp>

#include <chrono>

namespace godwit::telemetry {

void log_client_eviction(const memory::eviction& ended)
{
    const auto waited =
        std::chrono::duration_cast<std::chrono::milliseconds>(ended.waited);
    log_event(
        log_level::info,
        "http",
        "client_evicted",
        {{"activity", memory::to_string(ended.evicted.doing)},
         {"held_bytes", ended.evicted.held.bytes},
         {"waited_ms", waited.count()},
         {"used_bytes", ended.used.bytes},
         {"used_descriptors", ended.used.descriptors}});
}

} // namespace godwit::telemetry
