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

/// A generation that stopped at its source, to go on from a copy.
struct migrated_run
{
    placement::backend_server destination;
    std::string handle;
};

/// Why a running generation goes on elsewhere.
enum class migration_cause
{
    server_draining, ///< It is lost otherwise: any server with room will do.
    rebalance,       ///< It is better off in its host's zone, if there is room.
};

/// Takes one running generation away from its server: a copy of its memory
/// while it goes on, then a short last one, after which it has stopped. Used
/// on one executor.
class migrator : public std::enable_shared_from_this<migrator>
{
public:
    migrator(
        entry_context& context,
        std::shared_ptr<const routed_call> call,
        std::shared_ptr<upstream> source,
        placement::work_size work,
        std::uint64_t tokens_left,
        migration_cause cause);

    /// Begins.
    void start();

    /// The source leaves: whatever it was begun for, the generation has to go.
    void on_server_draining();

    /// The caller left or the generation ended by itself: frees what was
    /// copied and ends.
    void stop();

    /// Waits until the run has stopped for its last copy, or the migration
    /// failed; nothing then.
    boost::asio::awaitable<std::optional<migrated_run>>
    outcome(core::time_point end);

    /// Whether it ended with the generation where it was, still running.
    [[nodiscard]] bool is_still_at_source() const noexcept
    {
        return is_settled_ && !moved_;
    }

    /// The stream ended without its last event. Unless it was stopped for
    /// its last copy, the source died under way: then the run goes on from
    /// what the destination holds, if it holds anything.
    void on_stream_broken() { is_broken_ = true; }

private:
    /// The most that a last copy may wait for others on the link, as the one
    /// before it showed: longer, and callers notice the pause.
    static constexpr core::duration short_copy = std::chrono::milliseconds(70);
    static constexpr core::duration copy_limit = std::chrono::seconds(3);

    boost::asio::awaitable<void> work();
    /// How the copies of a running generation ended.
    enum class copies_outcome
    {
        nearly_all, ///< A last copy will be short.
        no_room,    ///< Not at this destination.
        not_begun,  ///< The source has not begun the generation yet.
        broken,     ///< The stream ended, or its caller left.
    };

    boost::asio::awaitable<void> take_turn();
    void end_turn();
    boost::asio::awaitable<void> move();
    boost::asio::awaitable<copies_outcome> copy_while_running();
    boost::asio::awaitable<void> copy_last();
    boost::asio::awaitable<copy_response> copy(copy_phase phase);
    boost::asio::awaitable<void> wait_for_links();
    void claim_links(core::duration hold);

    [[nodiscard]] bool has_to_leave() const noexcept
    {
        return cause_ == migration_cause::server_draining;
    }

    [[nodiscard]] placement::placement_request wanted() const;
    [[nodiscard]] bool choose_destination();
    void settle();
    void release();

    entry_context& context_;
    std::shared_ptr<const routed_call> call_;
    std::shared_ptr<upstream> source_;
    placement::work_size work_;
    double urgency_;
    migration_cause cause_;
    placement::copy_queue::ticket turn_ = 0;
    std::optional<placement::backend_server> destination_;
    std::optional<reservation> reserved_;
    std::vector<placement::server_id> refused_;
    std::optional<std::string> handle_;
    std::optional<migrated_run> copied_; ///< By a copy of the running one.
    std::optional<migrated_run> moved_;
    core::timer settled_signal_;
    core::time_point began_;
    bool is_broken_ = false;
    bool is_settled_ = false;
    bool is_stopped_ = false;
};

} // namespace godwit::entry
