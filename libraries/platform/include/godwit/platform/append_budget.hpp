#pragma once

#include <godwit/core/result.hpp>
#include <godwit/core/time.hpp>
#include <godwit/platform/append_budget_options.hpp>

namespace godwit::platform {

/// A token bucket that limits this host's appends, so that all hosts together
/// leave part of the log's rate to operators.
class append_budget
{
public:
    /// Fails with `invalid_input` on options out of range.
    [[nodiscard]] static core::result<append_budget>
    create(const append_budget_options& options, core::time_point now);

    /// Takes a token for one append; returns false if there is none.
    [[nodiscard]] bool take(core::time_point now);

    /// Returns the time until `take` can succeed; 0 if it can now.
    [[nodiscard]] core::duration wait(core::time_point now) const;

    /// Sets the number of hosts; 0 counts as 1.
    void set_hosts(std::size_t hosts, core::time_point now);

private:
    append_budget(const append_budget_options& options, core::time_point now);

    [[nodiscard]] double rate() const;
    [[nodiscard]] double tokens_at(core::time_point now) const;

    append_budget_options options_;
    double tokens_;
    core::time_point refilled_at_;
};

} // namespace godwit::platform
