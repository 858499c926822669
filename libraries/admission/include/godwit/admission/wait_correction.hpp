#pragma once

#include <godwit/core/time.hpp>

namespace godwit::admission {

/// How the predicted waits of a service's streams compare with the waits that
/// were observed.
class wait_correction
{
public:
    static constexpr double min_factor = 0.5;
    static constexpr double max_factor = 2;
    static constexpr double min_margin = 0.02;
    static constexpr double max_margin = 0.5;

    /// Records a stream that started after `observed`, and that was predicted,
    /// with the factor of that time, to start after `predicted`.
    void record(core::duration predicted, core::duration observed);

    /// What later predictions are multiplied by.
    [[nodiscard]] double factor() const noexcept { return factor_; }

    /// The share by which a prediction may be too long.
    [[nodiscard]] double margin() const noexcept;

private:
    double factor_ = 1;
    /// Mean of the absolute relative errors; the first value is the error of a
    /// rate that was observed by few starts.
    double error_ = 0.25;
};

} // namespace godwit::admission
