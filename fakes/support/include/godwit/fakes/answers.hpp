#pragma once

#include <godwit/core/error.hpp>
#include <godwit/fakes/fault_switches.hpp>
#include <godwit/http/exchange.hpp>

#include <boost/asio/awaitable.hpp>

#include <string>

namespace godwit::fakes {

/// Answers with a status and a JSON text. The caller may be gone; nobody
/// cares.
boost::asio::awaitable<void>
answer_json(http::exchange& current, unsigned status, std::string json);

/// Answers with `{"error", "remedy"}`.
boost::asio::awaitable<void>
answer_error(http::exchange& current, unsigned status, core::error failure);

/// Serves `/faults`: shows the switches after setting those of a POST.
boost::asio::awaitable<void>
answer_faults(http::exchange& current, fault_switches& switches);

} // namespace godwit::fakes
