#pragma once

#include <godwit/core/time.hpp>

namespace godwit::rollout {

/// How much of a service's requests the target version gets over the time of a
/// rollout.
///
/// A version may turn out bad at any moment, also after it has long been good.
/// So the target's part of all requests from the order to the deadline stays
/// under `max_exposure` even if it is never judged: a small share at first, in
/// which it is compared, and every request only at the end.
class exposure_plan
{
public:
    /// `max_exposure` is the largest part of the requests until the deadline
    /// that a bad version may get, above 0 and at most 1.
    exposure_plan(core::duration duration, double max_exposure) noexcept;

    /// Returns the share of the requests that go to the target at this time
    /// after the order.
    [[nodiscard]] double share_at(core::duration elapsed) const noexcept;

    /// Whether every request goes to the target at this time after the order.
    [[nodiscard]] bool is_final(core::duration elapsed) const noexcept
    {
        return elapsed >= final_from_;
    }

private:
    double observed_share_;
    core::duration final_from_;
};

} // namespace godwit::rollout
