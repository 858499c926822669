#pragma once

#include <godwit/core/time.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace godwit::faults {

/// Virtual time: runs what is due, in order of moment and of scheduling.
class virtual_clock
{
public:
    [[nodiscard]] core::time_point now() const { return now_; }

    void after(core::duration wait, std::function<void()> what)
    {
        const auto at = now_ + std::max(wait, core::duration(0));
        due_.emplace(std::pair(at, next_++), std::move(what));
    }

    /// Runs what is due next.
    void step()
    {
        auto first = due_.extract(due_.begin());
        now_ = first.key().first;
        first.mapped()();
    }

private:
    core::time_point now_{std::chrono::seconds(1000)};
    std::uint64_t next_ = 0;
    std::map<std::pair<core::time_point, std::uint64_t>, std::function<void()>>
        due_;
};

} // namespace godwit::faults
