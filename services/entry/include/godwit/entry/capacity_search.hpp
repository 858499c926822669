#pragma once

#include <godwit/admission/generation_size.hpp>
#include <godwit/admission/wait_policy.hpp>
#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/refusal.hpp>
#include <godwit/entry/reservation.hpp>
#include <godwit/entry/routed_call.hpp>
#include <godwit/entry/wait_queue.hpp>
#include <godwit/placement/backend_server.hpp>
#include <godwit/placement/work_size.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace godwit::entry {

/// A server with capacity for a stream.
struct found_capacity
{
    placement::backend_server server;
    /// The stream's entry in the load ledger.
    std::unique_ptr<reservation> reserved;
    /// Handle of the hold at the server, if its servers support holds.
    std::optional<std::string> hold;
};

/// Queues until a server has capacity for one stream, as the stream's wait
/// policy says. Used on one executor.
class capacity_search
{
public:
    capacity_search(
        entry_context& context, std::shared_ptr<const routed_call> call);

    capacity_search(const capacity_search&) = delete;
    capacity_search& operator=(const capacity_search&) = delete;

    /// Waits for the next server. Returns nothing if the request is to be
    /// refused, or if the search was stopped.
    boost::asio::awaitable<std::optional<found_capacity>> next();

    /// Waits as for a request that arrives now. Excluded servers stay excluded.
    void restart(core::time_point now);

    /// Excludes a server that did not take the request.
    void exclude(const placement::server_id& server);

    /// Ends the search because the caller disconnected.
    void stop();

    /// Called when the host is told to stop.
    void on_shutdown();

    /// Ends the search because the host ends.
    void stop_for_shutdown();

    /// Returns why the last search failed.
    [[nodiscard]] refusal_reason failure() const noexcept
    {
        return final_failure_.value_or(refusal_reason::no_room);
    }

    /// Returns when a refused caller should send the request again.
    [[nodiscard]] core::duration retry_after(core::time_point now) const;

private:
    boost::asio::awaitable<std::optional<placement::placement_choice>>
    choose_server();
    boost::asio::awaitable<std::optional<placement::placement_choice>>
    choose_server_in_stage(admission::wait_stage stage);
    boost::asio::awaitable<std::optional<found_capacity>>
    hold_capacity(placement::placement_choice choice);
    [[nodiscard]] placement::placement_request
    placement_request_in(admission::wait_stage stage) const;
    /// Returns until when the request may wait in the stage on a host that is
    /// stopping; on others, the greatest time.
    [[nodiscard]] core::time_point
    shutdown_end(admission::wait_stage stage) const;
    [[nodiscard]] std::optional<refusal_reason> final_failure_of(
        placement::placement_failure failure, core::time_point now);

    entry_context& context_;
    std::shared_ptr<const routed_call> call_;
    admission::wait_policy wait_policy_;
    std::optional<admission::generation_size> size_;
    std::vector<placement::server_id> excluded_;
    wait_queue::waiter* waiter_ = nullptr;
    bool is_stopped_ = false;
    std::optional<refusal_reason> final_failure_; ///< That no wait avoids.
    core::duration limit_wait_{}; ///< Where the wait for servers is too long.
};

/// Whether the service's servers grant holds.
[[nodiscard]] bool supports_holds(const routed_call& call);

} // namespace godwit::entry
