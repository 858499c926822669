#pragma once

#include <godwit/admission/work_amount.hpp>
#include <godwit/core/time.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace godwit::admission {

/// The work that was recorded in the last two seconds.
class work_window
{
public:
    static constexpr core::duration length = std::chrono::seconds(2);

    void add(const work_amount& work, core::time_point now);

    [[nodiscard]] work_amount sum(core::time_point now) const;

private:
    static constexpr std::size_t slots = 20;
    static constexpr core::duration slot_length = length / slots;

    struct slot
    {
        std::int64_t number = -1;
        work_amount work;
    };

    std::array<slot, slots> slots_{};
};

} // namespace godwit::admission
