#pragma once

#include <godwit/core/time.hpp>

#include <chrono>
#include <concepts>
#include <cstddef>
#include <deque>
#include <memory>
#include <set>
#include <utility>

namespace godwit::entry {

/// A connection that knows how many of its bytes are not sent yet.
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

/// Queue of neighbours' requests for this host's route table. Each waits until
/// earlier responses have nearly been sent. If all responses were sent
/// together, each would arrive only when the last one does, and other messages
/// that share the link would wait as long.
template<queueing_link Link, class Request>
class table_request_queue
{
public:
    /// Maximum number of bytes of earlier responses that may be unsent when the
    /// next response is started.
    static constexpr std::size_t max_queued_bytes = std::size_t{64} * 1024;
    /// Maximum time that a request waits. A neighbour that has waited longer
    /// has meanwhile sent its request to another host.
    static constexpr core::duration max_wait = std::chrono::seconds(1);

    void add(std::shared_ptr<Link> link, Request request, core::time_point now)
    {
        waiting_.push_back({std::move(link), std::move(request), now});
    }

    /// Calls `send` for each request that is to be answered now.
    template<std::invocable<Link&, const Request&> Send>
    void serve(core::time_point now, const Send& send)
    {
        while (!waiting_.empty() && queued_bytes() < max_queued_bytes) {
            const pending_request first = std::move(waiting_.front());
            waiting_.pop_front();
            if (!first.link->is_open() || now - first.requested_at > max_wait)
                continue;
            send(*first.link, first.request);
            served_.insert(first.link);
        }
    }

    [[nodiscard]] std::size_t waiting() const noexcept
    {
        return waiting_.size();
    }

private:
    struct pending_request
    {
        std::shared_ptr<Link> link;
        Request request;
        core::time_point requested_at;
    };

    [[nodiscard]] std::size_t queued_bytes()
    {
        std::size_t bytes = 0;
        std::erase_if(served_, [&bytes](const std::shared_ptr<Link>& each) {
            const std::size_t queued = each->is_open() ? each->queued() : 0;
            bytes += queued;
            return queued == 0;
        });
        return bytes;
    }

    std::deque<pending_request> waiting_;
    std::set<std::shared_ptr<Link>> served_;
};

} // namespace godwit::entry
