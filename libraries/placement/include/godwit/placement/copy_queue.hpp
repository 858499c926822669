#pragma once

#include <godwit/placement/backend_server.hpp>
#include <godwit/placement/work_size.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

namespace godwit::placement {

/// Returns the priority of copying a run's KV cache: the output tokens that are
/// lost otherwise, for each token that has to be copied. A run that ends by
/// itself during the notice period, or has not started, needs no copy.
[[nodiscard]] double
copy_priority(std::uint64_t remaining_tokens, const work_size& memory) noexcept;

/// Priority queues of a host's KV cache copies, one for each source server.
///
/// A draining server may have more runs than its network link can copy within
/// the notice period: about nine runs of 3,500 tokens in 1.8 s. The runs that
/// are lost should be those that end by themselves or have the lowest priority.
class copy_queue
{
public:
    /// The maximum number of concurrent copies of one host from one source
    /// server. A copy waits for earlier copies on the same network link, and a
    /// run that is suspended in the stop-and-copy phase must not wait long.
    static constexpr std::size_t max_concurrent_copies = 1;

    using ticket = std::uint64_t;

    /// Adds a copy to the queue, by priority and then in order of arrival.
    [[nodiscard]] ticket enqueue(const server_id& server, double priority);

    /// Starts the copy if it is its turn; returns whether it was started.
    [[nodiscard]] bool try_start(const server_id& server, ticket copy);

    /// Removes a copy that is completed or cancelled.
    void finish(const server_id& server, ticket copy);

private:
    struct server_queue
    {
        std::map<ticket, double> waiting; ///< Priorities by copy.
        std::set<ticket> copying;
    };

    [[nodiscard]] static bool is_next(const server_queue& queue, ticket copy);

    std::map<server_id, server_queue> queues_;
    ticket next_ticket_ = 0;
};

} // namespace godwit::placement
