#pragma once

#include <godwit/claims/claimer_action.hpp>
#include <godwit/claims/claimer_settings.hpp>
#include <godwit/core/time.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace godwit::claims {

/// A read of the log under way.
struct log_read
{
    std::uint64_t read = 0;
    std::uint64_t from = 0;

    /// What the read settles: everything that happened before this.
    core::time_point settles;

    /// After this it counts as failed.
    core::time_point deadline;
};

/// Keeps the reads of the claims stream going: one that waits for news, and
/// one without a wait when something has to be settled.
class log_reader
{
public:
    explicit log_reader(const claimer_settings& settings) : settings_(settings)
    {}

    /// Starts the waiting read if none is under way and none is held back.
    [[nodiscard]] std::optional<read_log>
    poll(std::uint64_t from, core::time_point now);

    /// Starts a read without a wait, unless one is under way.
    [[nodiscard]] std::optional<read_log>
    settle(std::uint64_t from, core::time_point now);

    /// Takes the read with this number off, or nothing if it is not known.
    [[nodiscard]] std::optional<log_read> finish(std::uint64_t read);

    /// Whether a read without a wait is under way.
    [[nodiscard]] bool settling() const { return settling_.has_value(); }

    /// Whether a read is past its deadline.
    [[nodiscard]] bool overdue(core::time_point now) const;

    /// Drops the reads under way; the next poll is a short one at `retry`.
    void fail(core::time_point retry);

    /// Lets the polls wait for news again.
    void recover() { probing_ = false; }

    [[nodiscard]] core::time_point next_wakeup() const;

private:
    read_log start(
        std::optional<log_read>& slot,
        std::uint64_t from,
        core::duration wait,
        core::time_point now);

    const claimer_settings settings_;
    std::optional<log_read> poll_;
    std::optional<log_read> settling_;
    core::time_point retry_;
    std::uint64_t last_read_ = 0;
    bool probing_ = true;
};

} // namespace godwit::claims
