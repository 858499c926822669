#pragma once

#include <godwit/admission/generation_size.hpp>
#include <godwit/admission/wait_policy.hpp>
#include <godwit/entry/entry_context.hpp>
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

/// A server that a stream may be sent to.
struct found_capacity
{
    placement::backend_server server;
    /// The stream's entry in the ledger of work.
    std::unique_ptr<reservation> reserved;
    /// Names the room that the server keeps, where servers do.
    std::optional<std::string> hold;
};

/// Waits in the line until a server has room for one stream, as its waiting
/// plan says. Used on one executor.
class capacity_search
{
public:
    capacity_search(
        entry_context& context, std::shared_ptr<const routed_call> call);

    capacity_search(const capacity_search&) = delete;
    capacity_search& operator=(const capacity_search&) = delete;

    /// The next server; nothing when the request is to be turned away, or
    /// when the search was stopped.
    boost::asio::awaitable<std::optional<found_capacity>> next();

    /// The server did not take the request; it is not asked again.
    void exclude(const placement::server_id& server);

    /// The caller left.
    void stop();

    [[nodiscard]] const admission::wait_policy& plan() const noexcept
    {
        return plan_;
    }

private:
    boost::asio::awaitable<std::optional<placement::placement_choice>> place();
    boost::asio::awaitable<std::optional<placement::placement_choice>>
    place_in_stage(admission::wait_stage stage);
    boost::asio::awaitable<std::optional<found_capacity>>
    keep_room(placement::placement_choice choice);
    [[nodiscard]] placement::placement_request
    wanted(admission::wait_stage stage) const;

    entry_context& context_;
    std::shared_ptr<const routed_call> call_;
    admission::wait_policy plan_;
    std::optional<admission::generation_size> size_;
    std::vector<placement::server_id> excluded_;
    wait_queue::waiter* waiting_ = nullptr;
    bool is_stopped_ = false;
};

/// Whether the service's servers keep room for requests that come next.
[[nodiscard]] bool supports_holds(const routed_call& call);

} // namespace godwit::entry
