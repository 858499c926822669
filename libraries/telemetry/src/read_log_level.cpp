#include <godwit/telemetry/read_log_level.hpp>

namespace godwit::telemetry {

core::result<log_level> read_log_level(settings::reader& from)
{
    const auto name = GODWIT_TRY(from.get_choice(
        "log_level", {"debug", "info", "warning", "error"}, "info"));
    if (name == "debug")
        return log_level::debug;
    if (name == "warning")
        return log_level::warning;
    if (name == "error")
        return log_level::error;
    return log_level::info;
}

} // namespace godwit::telemetry
