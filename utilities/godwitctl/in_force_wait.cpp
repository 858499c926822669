#include "in_force_wait.hpp"

#include "host_status.hpp"

#include <string>
#include <thread>

namespace godwit::ctl {

namespace {

constexpr std::chrono::milliseconds poll_pause(50);

// Why `server` does not have the record in force; empty if it has.
std::string missing_at(const http::endpoint& server, std::uint64_t offset)
{
    const auto status = host_status::ask(server);
    if (!status)
        return status.error().message();
    if (status->in_force && *status->in_force > offset)
        return {};
    return status->host + " (" + server.to_string() + ") is at " +
           (status->in_force ? std::to_string(*status->in_force)
                             : std::string("no catalogue"));
}

} // namespace

core::result<void> wait_in_force(
    const std::vector<http::endpoint>& servers,
    std::uint64_t offset,
    std::chrono::steady_clock::time_point deadline)
{
    std::vector<http::endpoint> waiting = servers;
    for (;;) {
        std::vector<http::endpoint> behind;
        std::string reasons;
        for (const http::endpoint& server : waiting) {
            const std::string reason = missing_at(server, offset);
            if (reason.empty())
                continue;
            behind.push_back(server);
            reasons += (reasons.empty() ? "" : "; ") + reason;
        }
        if (behind.empty())
            return {};
        // What is in force never goes back, so nobody is asked twice.
        waiting = std::move(behind);
        if (std::chrono::steady_clock::now() + poll_pause >= deadline) {
            return core::fail(
                core::error_kind::timeout,
                "the change is accepted at offset " + std::to_string(offset) +
                    " but not yet in force everywhere: " + reasons,
                "it comes into force when these hosts reach the log or a "
                "peer; watch with godwitctl status");
        }
        std::this_thread::sleep_for(poll_pause);
    }
}

} // namespace godwit::ctl
