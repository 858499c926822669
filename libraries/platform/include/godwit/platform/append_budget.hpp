#pragma once

#include <godwit/core/result.hpp>
#include <godwit/core/time.hpp>
#include <godwit/platform/append_budget_options.hpp>

namespace godwit::platform {

/// A token bucket over this host's appends, so that all hosts together leave
/// operators their share of the log's rate.
class append_budget
{
public:
    /// Fails with `invalid_input` on options out of range.
    [[nodiscard]] static core::result<append_budget>
    create(const append_budget_options& options, core::time_point now);

    /// Takes one append, if it may be made now.
    [[nodiscard]] bool take(core::time_point now);

    /// How long until `take` succeeds; 0 when it does now.
    [[nodiscard]] core::duration wait(core::time_point now) const;

    /// The number of hosts changed; at least 1 is assumed.
    void set_hosts(std::size_t hosts, core::time_point now);

private:
    append_budget(const append_budget_options& options, core::time_point now);

    [[nodiscard]] double rate() const;
    [[nodiscard]] double tokens_at(core::time_point now) const;

    append_budget_options options_;
    double tokens_;
    core::time_point filled_;
};

} // namespace godwit::platform
