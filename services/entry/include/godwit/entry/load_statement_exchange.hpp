#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/result.hpp>
#include <godwit/core/time.hpp>
#include <godwit/entry/entry_context.hpp>
#include <godwit/placement/load_statement.hpp>
#include <godwit/placement/reported_load.hpp>
#include <godwit/wire/load_statements.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>

namespace godwit::entry {

/// Converts a statement to its wire form, with its age at `now`.
[[nodiscard]] wire::load_statement
to_wire(const placement::reported_load& load, core::time_point now);

/// Converts a statement from another host. Fails with `protocol` if the server
/// id is missing or a figure is out of range.
[[nodiscard]] core::result<placement::reported_load>
to_reported_load(const wire::load_statement& received, core::time_point now);

/// Exchanges the load statements of backend servers with this host's cell.
class load_statement_exchange
{
public:
    /// The minimum time between two messages.
    static constexpr core::duration min_interval =
        std::chrono::milliseconds(100);
    /// The maximum number of servers in a message.
    static constexpr std::size_t max_servers = 64;
    /// The maximum number of neighbours whose malformed messages are logged.
    static constexpr std::size_t max_logged_hosts = 1024;

    explicit load_statement_exchange(entry_context& context) : context_(context)
    {}

    /// Applies a neighbour's statements about known servers.
    void handle(
        const core::host_name& host,
        const wire::load_statements& message,
        core::time_point now);

    /// Returns the statements that differ from those last returned, if there
    /// are any and a message may be sent.
    [[nodiscard]] std::optional<wire::load_statements>
    next(core::time_point now);

private:
    [[nodiscard]] bool
    is_about_current_process(const placement::reported_load& load) const;
    [[nodiscard]] bool
    differs_from_sent(const placement::reported_load& load) const;
    void reject(const core::host_name& host, const core::error& why);

    entry_context& context_;
    /// The statement of each server that was last sent.
    std::map<placement::server_id, placement::load_statement> sent_;
    /// The last server in the last message; the next one starts behind it.
    placement::server_id last_;
    std::optional<core::time_point> sent_at_;
    std::set<core::host_name> malformed_from_;
};

} // namespace godwit::entry
