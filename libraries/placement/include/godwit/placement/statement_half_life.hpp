#pragma once

#include <godwit/core/time.hpp>

#include <chrono>

namespace godwit::placement {

/// Learns the age at which a server's load statement has lost half of its
/// weight, from how often its statements were observed to change.
class statement_half_life
{
public:
    static constexpr core::duration min = std::chrono::milliseconds(100);
    static constexpr core::duration max = std::chrono::seconds(3);

    /// Records two successive statements, this far apart.
    void record(core::duration apart, bool has_changed);

    [[nodiscard]] core::duration value() const;

private:
    // Equal to one change a second, with the weight of one observed change.
    double observed_seconds_ = 1.0;
    double changes_ = 1.0;
};

} // namespace godwit::placement
