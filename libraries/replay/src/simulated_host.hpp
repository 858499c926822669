#pragma once

#include <godwit/admission/generation_size.hpp>
#include <godwit/admission/wait_policy.hpp>
#include <godwit/placement/event_gap_tracker.hpp>
#include <godwit/placement/load_ledger.hpp>
#include <godwit/placement/placer.hpp>
#include <godwit/placement/server_directory.hpp>
#include <godwit/placement/server_health.hpp>
#include <godwit/placement/server_limits.hpp>
#include <godwit/placement/slow_server_detector.hpp>
#include <godwit/replay/generation_request.hpp>
#include <godwit/routing/service.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace godwit::replay {

/// An entry host without its sockets: a line of requests that wait, what it
/// believes of the engines, and the decisions of the real libraries.
class simulated_host
{
public:
    /// Sends the generation to the server; false if it keeps no room.
    using send_function = std::function<bool(
        std::size_t generation,
        const placement::server_id& server,
        std::uint64_t tokens)>;

    simulated_host(
        core::zone_name zone,
        const routing::service& service,
        std::uint64_t seed);

    simulated_host(const simulated_host&) = delete;
    simulated_host& operator=(const simulated_host&) = delete;

    void
    server_joins(const placement::backend_server& server, core::time_point now);

    void arrives(
        std::size_t generation,
        const generation_request& order,
        core::time_point now);

    /// The prompt is read, or the generation wrote one event more: its
    /// tokens so far.
    void wrote(
        std::size_t generation,
        std::uint64_t written_tokens,
        core::time_point now);

    void ended(std::size_t generation);

    void update_from_neighbour(
        const core::host_name& host,
        const std::vector<placement::server_work>& word,
        core::time_point now);

    /// Lets those who wait look for room, the first in the line first.
    void look_for_room(core::time_point now, const send_function& send);

    /// Generations whose waiting is over; they leave the line.
    [[nodiscard]] std::vector<std::size_t> turn_away(core::time_point now);

    /// Compares the paces of the engines.
    void compare_paces(core::time_point now);

    [[nodiscard]] std::vector<placement::server_work> own_work() const
    {
        return ledger_.own();
    }

private:
    struct waiting_generation
    {
        generation_request order;
        admission::wait_policy plan;
        core::time_point next_attempt;
    };

    struct running_generation
    {
        generation_request order;
        placement::server_id server;
        placement::work_size work;
        placement::event_gap_tracker rhythm;
    };

    [[nodiscard]] std::vector<std::pair<int, std::size_t>>
    line(core::time_point now) const;
    [[nodiscard]] bool try_to_place(
        std::size_t generation,
        waiting_generation& waiting,
        core::time_point now,
        const send_function& send);
    void replace_work(running_generation& running, placement::work_size work);

    core::zone_name zone_;
    const routing::service& service_;
    placement::server_directory directory_;
    placement::load_ledger ledger_;
    placement::server_health health_;
    placement::slow_server_detector paces_;
    placement::server_limits limits_;
    placement::placer placer_;
    std::map<std::size_t, waiting_generation> waiting_;
    std::map<std::size_t, running_generation> running_;
};

} // namespace godwit::replay
