#pragma once

#include <godwit/core/timer.hpp>
#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/migration.hpp>
#include <godwit/entry/reservation.hpp>
#include <godwit/entry/routed_call.hpp>
#include <godwit/entry/upstream.hpp>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace godwit::entry {

/// A generation that stopped at its source server and can resume from a copy.
struct migrated_run
{
    placement::backend_server destination;
    std::string handle;
};

/// Why a running generation migrates.
enum class migration_cause
{
    /// The generation would be lost, so any server with capacity will do.
    server_draining,
    /// The generation must not run in its server's region any more.
    region_withdrawn,
    /// The generation is better off in its host's zone, if a server there has
    /// capacity.
    rebalance,
};

/// Migrates one running generation to another server: copies its KV cache while
/// it runs, then stops it for a short last copy. Used on one executor.
class migrator : public std::enable_shared_from_this<migrator>
{
public:
    migrator(
        entry_context& context,
        std::shared_ptr<const routed_call> call,
        std::shared_ptr<upstream> source,
        placement::work_size work,
        std::uint64_t remaining_tokens,
        migration_cause cause);

    /// Starts the migration.
    void start();

    /// Called when the generation must leave its server, whatever the migration
    /// was started for.
    void require_migration();

    /// Ends the migration and frees the copies, because the caller disconnected
    /// or the generation ended.
    void stop();

    /// Waits until the generation has stopped for its last copy. Returns
    /// nothing if the migration failed.
    boost::asio::awaitable<std::optional<migrated_run>>
    outcome(core::time_point end);

    /// Waits until `end` for the response to a last copy that is under way.
    boost::asio::awaitable<void> wait_for_stop(core::time_point end);

    /// Whether the generation may have stopped for its last copy: the source
    /// server was asked for one, and has not denied it.
    [[nodiscard]] bool may_have_stopped_run() const noexcept
    {
        return is_stopping_run_ || may_have_stopped_run_;
    }

    /// Whether the migration ended and the generation still runs at its
    /// source server.
    [[nodiscard]] bool is_still_at_source() const noexcept
    {
        return is_finished_ && !migrated_;
    }

    /// Called when the stream ends without its last event. Unless the
    /// generation was stopped for its last copy, the source server died during
    /// the migration; the generation then resumes from the last copy at the
    /// destination, if there is one.
    void on_stream_broken() { is_broken_ = true; }

private:
    /// The longest acceptable stop-and-copy, since callers notice a longer gap
    /// between events. The duration of the latest pre-copy, including its wait
    /// for other copies on the server's link, is the estimate for it.
    static constexpr core::duration max_final_copy_time =
        std::chrono::milliseconds(70);
    static constexpr core::duration copy_timeout = std::chrono::seconds(3);

    boost::asio::awaitable<void> run();
    /// How the copies of a running generation ended.
    enum class pre_copy_result
    {
        converged,   ///< A stop-and-copy will be short.
        no_capacity, ///< The destination cannot take the generation.
        not_started, ///< The server has not started the generation yet.
        broken,      ///< The stream ended, its caller left or time is up.
    };

    boost::asio::awaitable<void> wait_for_copy_turn();
    void end_copy_turn();
    boost::asio::awaitable<void> migrate();
    boost::asio::awaitable<pre_copy_result> pre_copy();
    boost::asio::awaitable<void> stop_and_copy();
    boost::asio::awaitable<copy_response> copy(copy_phase phase);
    boost::asio::awaitable<void> wait_for_links();
    void claim_links(core::duration duration);

    [[nodiscard]] bool must_migrate() const noexcept
    {
        return cause_ != migration_cause::rebalance;
    }

    [[nodiscard]] placement::placement_request destination_request() const;
    [[nodiscard]] bool choose_destination();
    /// Whether neither an evacuation nor a change of the route table forbids
    /// the destination.
    [[nodiscard]] bool may_copy_to_destination() const;
    void finish();
    void release();

    entry_context& context_;
    std::shared_ptr<const routed_call> call_;
    std::shared_ptr<upstream> source_;
    placement::work_size work_;
    double priority_;
    migration_cause cause_;
    placement::copy_queue::ticket ticket_ = 0;
    std::optional<placement::backend_server> destination_;
    std::optional<reservation> reserved_;
    std::vector<placement::server_id> excluded_;
    std::optional<std::string> handle_;
    std::optional<migrated_run> pre_copied_; ///< From the last pre-copy.
    std::optional<migrated_run> migrated_;
    core::timer finished_signal_;
    core::time_point started_at_;
    bool is_stopping_run_ = false;
    bool may_have_stopped_run_ = false;
    bool is_broken_ = false;
    bool is_finished_ = false;
    bool is_stopped_ = false;
};

} // namespace godwit::entry
