#include <godwit/entry/entry_process.hpp>

#include <godwit/telemetry/log.hpp>

// The host's network link as the requests of callers use it.

namespace godwit::entry {

using telemetry::log_event;
using telemetry::log_level;

namespace {

constexpr std::string_view component = "entry";
// Above this share answers begin to wait for each other on the link.
constexpr double busy_link_use = 0.6;
constexpr double idle_link_use = 0.4;

} // namespace

void entry_process::observe_link()
{
    const double use = context_.link.use(core::monotonic_now());
    const double bound = is_link_busy_ ? idle_link_use : busy_link_use;
    if ((use >= bound) == is_link_busy_)
        return;
    is_link_busy_ = !is_link_busy_;
    log_event(
        log_level::warning,
        component,
        is_link_busy_ ? "link_busy" : "link_relieved",
        {{"use", use},
         {"requests", callers_->active_exchanges()},
         {"connections", callers_->open_connections()}});
}

} // namespace godwit::entry
