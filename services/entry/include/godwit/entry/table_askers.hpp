#pragma once

#include <godwit/core/time.hpp>

#include <chrono>
#include <concepts>
#include <cstddef>
#include <deque>
#include <memory>
#include <utility>
#include <vector>

namespace godwit::entry {

/// A connection that tells how much of what it was given is not sent yet.
template<class Link>
concept queueing_link = requires(const Link& link)
{
    {
        link.is_open()
        } -> std::same_as<bool>;
    {
        link.queued()
        } -> std::same_as<std::size_t>;
};

/// The neighbours that asked this host for its route table. A few are served
/// at a time: served together, all of them would wait for the last one's, and
/// so would the requests that share the host's link.
template<queueing_link Link>
class table_askers
{
public:
    /// One whose peer reads slowly must not hold up the others.
    static constexpr std::size_t most_at_once = 2;
    /// Whoever has waited longer asks another neighbour meanwhile.
    static constexpr core::duration longest_wait = std::chrono::seconds(1);

    void add(std::shared_ptr<Link> link, core::time_point now)
    {
        waiting_.push_back({std::move(link), now});
    }

    /// Calls `send` with the links that are to get the table now.
    template<std::invocable<Link&> Send>
    void serve(core::time_point now, const Send& send)
    {
        std::erase_if(served_, [](const std::shared_ptr<Link>& each) {
            return !each->is_open() || each->queued() == 0;
        });
        while (!waiting_.empty() && served_.size() < most_at_once) {
            const asker first = std::move(waiting_.front());
            waiting_.pop_front();
            if (!first.link->is_open() || now - first.asked_at > longest_wait)
                continue;
            send(*first.link);
            served_.push_back(first.link);
        }
    }

    [[nodiscard]] std::size_t waiting() const noexcept
    {
        return waiting_.size();
    }

private:
    struct asker
    {
        std::shared_ptr<Link> link;
        core::time_point asked_at;
    };

    std::deque<asker> waiting_;
    std::vector<std::shared_ptr<Link>> served_;
};

} // namespace godwit::entry
