#pragma once

#include "agent_link.hpp"
#include "answer_store.hpp"
#include "callers_service.hpp"
#include "claim_client.hpp"
#include "control_plane.hpp"
#include "drain.hpp"
#include "explain_log.hpp"
#include "operators_service.hpp"
#include "peers_service.hpp"
#include "process_state.hpp"
#include "proxy_settings.hpp"
#include "retry_budgets.hpp"
#include "session_registry.hpp"
#include "session_services.hpp"
#include "snapshot_cell.hpp"
#include "token_ledger.hpp"

#include <godwit/core/identifiers.hpp>
#include <godwit/core/result.hpp>
#include <godwit/http/server.hpp>
#include <godwit/memory/client_account.hpp>
#include <godwit/request/token_keyring.hpp>
#include <godwit/settings/exit_code.hpp>
#include <godwit/telemetry/metrics.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace godwit::proxy {

/// All parts of one running proxy and the threads that run them.
class proxy_process
{
public:
    /// Binds both addresses. Fails with `unavailable` where one cannot be
    /// had, and `invalid_input` where the settings do not fit together.
    static core::result<std::unique_ptr<proxy_process>>
    create(proxy_settings settings);

    /// Prints the addresses, serves until the process is told to stop, and
    /// returns how it ended.
    settings::exit_code run();

private:
    proxy_process(
        proxy_settings settings,
        request::token_keyring keys,
        std::unique_ptr<explain_log> explanations,
        std::unique_ptr<answer_store> answers);

    core::result<void> make_control();
    core::result<void> listen_to_peers();
    core::result<void> make_agent_link();
    void make_services();
    core::result<void> listen();
    core::result<void> take_static_catalogue();
    void run_threads();

    proxy_settings settings_;
    core::incarnation_id incarnation_;
    request::token_keyring keys_;
    std::unique_ptr<explain_log> explanations_;
    std::unique_ptr<answer_store> answers_;
    std::unique_ptr<telemetry::metrics> metrics_;
    std::shared_ptr<memory::client_account> account_;
    process_state state_;
    snapshot_cell snapshots_;
    token_ledger ledger_;
    retry_budgets budgets_;
    // Sockets and timers live in these, so they go after whatever has some.
    boost::asio::io_context control_context_;
    boost::asio::io_context traffic_context_;
    session_registry registry_;
    std::unique_ptr<control_plane> control_;
    std::unique_ptr<agent_link> agent_; ///< Null without an agent.
    std::optional<claim_client> claims_;
    std::optional<session_services> services_;
    std::optional<callers_service> callers_service_;
    std::optional<operators_service> operators_service_;
    std::optional<peers_service> peers_service_;
    std::unique_ptr<http::server> callers_;
    std::unique_ptr<http::server> operators_;
    std::unique_ptr<http::server> peers_;
    std::optional<drain> drain_;
    std::size_t cut_requests_ = 0;
};

} // namespace godwit::proxy
