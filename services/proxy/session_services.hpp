#pragma once

#include "answer_store.hpp"
#include "claim_client.hpp"
#include "control_plane.hpp"
#include "explain_log.hpp"
#include "proxy_settings.hpp"
#include "retry_budgets.hpp"
#include "session_registry.hpp"
#include "snapshot_cell.hpp"
#include "token_ledger.hpp"

#include <godwit/request/token_keyring.hpp>
#include <godwit/telemetry/metrics.hpp>

namespace godwit::proxy {

/// What the requests of one process share. Everything outlives them and is
/// safe from every thread.
struct session_services
{
    const proxy_settings& settings;
    const request::token_keyring& keys;
    control_plane& control;
    const snapshot_cell& snapshots;
    session_registry& registry;
    retry_budgets& budgets;
    token_ledger& ledger;
    answer_store& answers;
    claim_client& claims;
    explain_log& explanations;
    telemetry::metrics& metrics;
};

} // namespace godwit::proxy
