#pragma once

#include <godwit/placement/backend_server.hpp>
#include <godwit/placement/work_size.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

namespace godwit::placement {

/// What one more token of memory on a link saves: the text that is lost
/// otherwise, for each token that has to be copied. A run that ends by itself
/// during the notice, or has not begun, needs no copy.
[[nodiscard]] double
copy_priority(std::uint64_t tokens_left, const work_size& memory) noexcept;

/// Which of a host's generations is copied next from each server.
///
/// Answers servers that leave with more runs than their link can copy within
/// the notice: some nine runs of 3,500 tokens in 1.8 s. What is lost should be
/// what would have ended by itself, or was worth least.
class copy_queue
{
public:
    /// Copies of one host from one server at one time: each waits for the ones
    /// before it on the same link, and a run that has stopped for its last
    /// copy must not wait long.
    static constexpr std::size_t max_concurrent_copies = 1;

    using ticket = std::uint64_t;

    /// Stands in line; the most urgent goes first, then who came first.
    [[nodiscard]] ticket enqueue(const server_id& server, double urgency);

    /// Whether the holder may copy now; it counts as copying from then on.
    [[nodiscard]] bool try_start(const server_id& server, ticket held);

    /// The copies are done, or not wanted any more.
    void end(const server_id& server, ticket held);

private:
    struct line
    {
        std::map<ticket, double> waiting; ///< With their urgency.
        std::set<ticket> copying;
    };

    [[nodiscard]] static bool is_first(const line& at, ticket held);

    std::map<server_id, line> lines_;
    ticket next_ = 0;
};

} // namespace godwit::placement
