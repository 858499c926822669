#pragma once

#include "command_line.hpp"

#include <godwit/settings/exit_code.hpp>

/// One function a command; each prints its result and returns the code to
/// end with.
namespace godwit::ctl {

[[nodiscard]] settings::exit_code run_check(const command_line& line);
[[nodiscard]] settings::exit_code run_publish(const command_line& line);
[[nodiscard]] settings::exit_code run_get(const command_line& line);
[[nodiscard]] settings::exit_code run_history(const command_line& line);
[[nodiscard]] settings::exit_code run_status(const command_line& line);
[[nodiscard]] settings::exit_code run_dump(const command_line& line);
[[nodiscard]] settings::exit_code run_explain(const command_line& line);
[[nodiscard]] settings::exit_code run_hash_token(const command_line& line);

} // namespace godwit::ctl
