#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/random.hpp>
#include <godwit/core/time.hpp>
#include <godwit/dispatch/action.hpp>
#include <godwit/dispatch/event.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace godwit::bench {

/// How a baseline chooses a server.
enum class baseline_choice
{
    round_robin,    ///< In turn.
    least_requests, ///< The fewest of this host's own requests.
    two_choices,    ///< The better of two random ones by the last report.
    /// As `least_requests`, with the classes' priorities at the engine.
    least_requests_priorities,
};

/// An entry host without a queue: it sends each request at once, and but for
/// the last choice all at the same priority, so that engines serve them first
/// in, first out. A request that two engines refuse is refused.
class baseline
{
public:
    baseline(baseline_choice choice, std::uint64_t seed);

    [[nodiscard]] std::vector<dispatch::action>
    handle(const dispatch::event& event, core::time_point now);

private:
    struct server
    {
        dispatch::backend_server description;
        std::uint32_t own_requests = 0;
        std::uint32_t reported_requests = 0;
    };

    [[nodiscard]] std::vector<server*>
    eligible_for(const dispatch::request_arrived& request);
    [[nodiscard]] server& choose(const std::vector<server*>& servers);
    [[nodiscard]] std::vector<dispatch::action>
    arrive(const dispatch::request_arrived& request);
    void end(const core::request_id& id);

    [[nodiscard]] int
    priority_of(const dispatch::request_arrived& request) const;

    baseline_choice choice_;
    std::map<core::request_class_name, int> priorities_;
    core::random random_;
    std::size_t turn_ = 0;
    std::map<core::server_address, server> servers_;
    std::unordered_map<core::request_id, core::server_address> started_;
};

} // namespace godwit::bench
