#pragma once

#include "claimed_run.hpp"

#include <godwit/claims/kept_answer.hpp>
#include <godwit/core/identifiers.hpp>
#include <godwit/core/result.hpp>
#include <godwit/core/time.hpp>

#include <boost/asio/awaitable.hpp>

#include <string>

namespace godwit::proxy {

/// Asks the proxy that holds a claim for the answer of its run, and waits
/// for the run's end. Fails with `expired` where the answer is no longer
/// kept, `not_found` where no run began, `unavailable` where the proxy cannot
/// be reached, and `timeout` at `deadline`.
boost::asio::awaitable<core::result<claims::kept_answer>>
fetch_claimed_answer(claimed_run run, core::time_point deadline);

/// Tells the proxy at `peer` that another one goes on with its generation.
/// Best effort.
boost::asio::awaitable<void>
announce_resumed(std::string peer, core::generation_id generation);

} // namespace godwit::proxy
