#pragma once

#include <godwit/dispatch/cache_changed.hpp>
#include <godwit/dispatch/generation_ended.hpp>
#include <godwit/dispatch/generation_preempted.hpp>
#include <godwit/dispatch/load_reported.hpp>
#include <godwit/dispatch/policy_changed.hpp>
#include <godwit/dispatch/request_arrived.hpp>
#include <godwit/dispatch/request_left.hpp>
#include <godwit/dispatch/request_started.hpp>
#include <godwit/dispatch/servers_changed.hpp>
#include <godwit/dispatch/start_failed.hpp>
#include <godwit/dispatch/tick.hpp>
#include <godwit/dispatch/tokens_arrived.hpp>

#include <variant>

namespace godwit::dispatch {

/// All that a scheduler is told.
using event = std::variant<
    policy_changed,
    servers_changed,
    load_reported,
    cache_changed,
    request_arrived,
    request_left,
    request_started,
    start_failed,
    tokens_arrived,
    generation_preempted,
    generation_ended,
    tick>;

} // namespace godwit::dispatch
