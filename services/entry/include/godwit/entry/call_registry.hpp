#pragma once

#include <godwit/entry/running_call.hpp>

#include <cstddef>
#include <memory>
#include <set>
#include <vector>

namespace godwit::entry {

/// The requests that are being served, from routing to the end of the response.
/// Used on one executor.
class call_registry
{
public:
    /// Keeps a call registered while it exists. May outlive the registry, but
    /// not the call.
    class registration
    {
    public:
        registration(call_registry& registry, running_call& call);
        ~registration();

        registration(const registration&) = delete;
        registration& operator=(const registration&) = delete;

    private:
        std::shared_ptr<std::set<running_call*>> calls_;
        running_call& call_;
    };

    [[nodiscard]] std::size_t size() const noexcept { return calls_->size(); }

    /// Notifies each call that the host is told to stop.
    void notify_shutdown();

    /// Notifies each call that it has to respond now.
    void notify_response_due();

    /// Logs each call whose response is not delivered, up to a number of lines,
    /// as the host ends.
    void log_unanswered() const;

private:
    /// Returns a copy, since notified calls may change the registry.
    [[nodiscard]] std::vector<running_call*> calls() const
    {
        return {calls_->begin(), calls_->end()};
    }

    /// Shared, as requests that a stop cut are destroyed after their host.
    std::shared_ptr<std::set<running_call*>> calls_ =
        std::make_shared<std::set<running_call*>>();
};

} // namespace godwit::entry
