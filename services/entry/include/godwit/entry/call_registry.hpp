#pragma once

#include <godwit/entry/running_call.hpp>

#include <cstddef>
#include <set>
#include <vector>

namespace godwit::entry {

/// The requests that are being served, from routing to the end of the response.
/// Used on one executor.
class call_registry
{
public:
    /// Keeps a call registered while it exists. Keeps references to both.
    class registration
    {
    public:
        registration(call_registry& registry, running_call& call);
        ~registration();

        registration(const registration&) = delete;
        registration& operator=(const registration&) = delete;

    private:
        call_registry& registry_;
        running_call& call_;
    };

    [[nodiscard]] std::size_t size() const noexcept { return calls_.size(); }

    /// Logs each call whose response is not delivered, up to a number of lines,
    /// as the host ends.
    void log_unanswered() const;

private:
    std::set<running_call*> calls_;
};

} // namespace godwit::entry
