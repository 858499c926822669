#pragma once

#include "service_queue.hpp"
#include "tracked_request.hpp"

#include <godwit/core/random.hpp>
#include <godwit/core/time.hpp>
#include <godwit/dispatch/placement_reason.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace godwit::dispatch {

/// A server and why it was chosen.
struct placement_choice
{
    server_account* server = nullptr;
    placement_reason reason = placement_reason::least_load;
};

/// Chooses a backend server for a request: the least loaded of a few random
/// candidates and the owner of its prefix, in the own availability zone if
/// one has room there.
class placement
{
public:
    placement(std::uint64_t seed, std::uint32_t candidates);

    /// The server to start `request` on now; none if none has room.
    [[nodiscard]] std::optional<placement_choice> choose(
        const service_queue& service,
        const tracked_request& request,
        core::time_point now);

private:
    struct scored
    {
        server_account* server = nullptr;
        double score = 0.0;
        bool prefix = false;
    };

    [[nodiscard]] std::optional<scored> best_of(
        const service_queue& service,
        const tracked_request& request,
        std::size_t first,
        std::size_t last,
        core::time_point now);

    void shuffle_some(std::size_t first, std::size_t last);

    core::random random_;
    std::uint32_t candidates_;
    std::vector<std::size_t> order_;
};

} // namespace godwit::dispatch
