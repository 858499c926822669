#pragma once

#include <godwit/dispatch/refuse_request.hpp>
#include <godwit/dispatch/start_request.hpp>

#include <functional>
#include <variant>

namespace godwit::proxy {

/// What dispatch says to a request that asked for a backend server.
using dispatch_answer =
    std::variant<dispatch::start_request, dispatch::refuse_request>;

/// Takes the answer, on the control thread.
using dispatch_listener = std::function<void(const dispatch_answer&)>;

} // namespace godwit::proxy
