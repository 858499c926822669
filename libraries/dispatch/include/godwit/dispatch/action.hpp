#pragma once

#include <godwit/dispatch/raise_priority.hpp>
#include <godwit/dispatch/refuse_request.hpp>
#include <godwit/dispatch/start_request.hpp>

#include <variant>

namespace godwit::dispatch {

/// All that a scheduler asks for.
using action = std::variant<start_request, refuse_request, raise_priority>;

} // namespace godwit::dispatch
