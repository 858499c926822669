#pragma once

#include <godwit/request/actions.hpp>
#include <godwit/request/events.hpp>

#include <string>

namespace godwit::request {

/// The event as its name and key=value pairs, for logs and golden files.
[[nodiscard]] std::string describe(const event& what);

/// The action as its name and key=value pairs. Moments are microseconds on
/// the clock of the process.
[[nodiscard]] std::string describe(const action& what);

} // namespace godwit::request
