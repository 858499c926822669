#pragma once

#include "virtual_clock.hpp"

#include <godwit/claims/log_record.hpp>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace godwit::faults {

/// The platform's log: keeps everything; can be down, slow, or lose answers.
class fake_log
{
public:
    enum class append_result
    {
        done,
        lost,
        unavailable,
    };

    using append_answer = std::function<void(append_result, std::uint64_t)>;
    using read_answer = std::function<void(
        bool, std::uint64_t, const std::vector<claims::log_record>&)>;

    explicit fake_log(virtual_clock& clock) : clock_(&clock) {}

    void be_down(core::duration span) { down_until_ = clock_->now() + span; }

    void be_slow(core::duration span) { slow_until_ = clock_->now() + span; }

    void lose_answers(int count) { to_lose_ = count; }

    /// Called right after an append took effect.
    std::function<void()> on_effect;

    void append(std::string data, append_answer answer)
    {
        clock_->after(hop, [this, data = std::move(data), answer] {
            if (is_down())
                return answer(append_result::unavailable, 0);
            const std::uint64_t offset = records_.size();
            const auto time = std::chrono::duration_cast<claims::log_time>(
                clock_->now().time_since_epoch());
            records_.push_back({offset, time, data});
            if (on_effect)
                on_effect();
            const bool lost = to_lose_ > 0 && to_lose_-- > 0;
            clock_->after(hop + delay(), [answer, offset, lost] {
                answer(
                    lost ? append_result::lost : append_result::done, offset);
            });
            wake_readers();
        });
    }

    void read(std::uint64_t from, core::duration wait, read_answer answer)
    {
        clock_->after(hop, [this, from, wait, answer] {
            if (is_down())
                return answer(false, 0, {});
            if (from < records_.size() || wait.count() == 0)
                return reply(from, answer);
            const auto id = next_waiter_++;
            waiters_.push_back({id, from, answer});
            clock_->after(wait, [this, id] { wake(id); });
        });
    }

private:
    struct waiter
    {
        std::uint64_t id = 0;
        std::uint64_t from = 0;
        read_answer answer;
    };

    static constexpr auto hop = std::chrono::milliseconds(2);

    [[nodiscard]] bool is_down() const { return clock_->now() < down_until_; }

    [[nodiscard]] core::duration delay() const
    {
        return clock_->now() < slow_until_ ? std::chrono::milliseconds(700)
                                           : core::duration(0);
    }

    void reply(std::uint64_t from, const read_answer& answer)
    {
        clock_->after(hop + delay(), [this, from, answer] {
            if (is_down())
                return answer(false, 0, {});
            const auto first = std::min<std::uint64_t>(from, records_.size());
            answer(
                true,
                records_.size(),
                {records_.begin() + static_cast<std::ptrdiff_t>(first),
                 records_.end()});
        });
    }

    void wake_readers()
    {
        for (const auto& one : std::exchange(waiters_, {}))
            reply(one.from, one.answer);
    }

    void wake(std::uint64_t id)
    {
        const auto found = std::find_if(
            waiters_.begin(), waiters_.end(), [&](const waiter& one) {
                return one.id == id;
            });
        if (found == waiters_.end())
            return;
        const auto one = *found;
        waiters_.erase(found);
        reply(one.from, one.answer);
    }

    virtual_clock* clock_;
    std::vector<claims::log_record> records_;
    std::vector<waiter> waiters_;
    std::uint64_t next_waiter_ = 0;
    core::time_point down_until_{};
    core::time_point slow_until_{};
    int to_lose_ = 0;
};

} // namespace godwit::faults
