#pragma once

#include <godwit/core/time.hpp>

#include <cstdint>

namespace godwit::admission {

/// What is known of a request that wants room.
struct wait_parameters
{
    core::time_point arrived;
    core::time_point ends;      ///< Its caller leaves then.
    core::duration objective{}; ///< Until its first event.
    int priority = 0;           ///< 0 is the most urgent.

    friend bool
    operator==(const wait_parameters&, const wait_parameters&) = default;
};

/// Why a request waits, or that it does not any more.
enum class wait_stage
{
    timely, ///< It can still be begun in time.
    late,   ///< It will be late, and its caller still wants it.
    over,   ///< It is turned away, and told when to come back.
};

/// The name of `stage` as it appears in logs.
[[nodiscard]] const char* to_string(wait_stage stage) noexcept;

/// How one request waits for room, when load is above what the engines hold:
/// in which order, how often it looks, and when it is turned away.
///
/// Answers bursts of a few seconds. What can be in time goes first, since
/// every place that a late request takes makes another one late. What is late
/// still is served out of what is left over: a caller who waits for minutes
/// of text wants it late rather than not at all. What would end only after
/// its caller has left is turned away while it can still come back.
class wait_policy
{
public:
    [[nodiscard]] static wait_policy create(const wait_parameters& terms);

    [[nodiscard]] wait_stage stage(core::time_point now) const;

    /// When the stage ends, unless there is room before.
    [[nodiscard]] core::time_point stage_end(wait_stage stage) const;

    /// The place in the line: lower goes first.
    [[nodiscard]] int rank(wait_stage stage) const;

    /// The earliest next look for room after one that found none.
    [[nodiscard]] core::time_point
    next_attempt(wait_stage stage, core::time_point now) const;

    /// Prompt tokens that an engine may have to read, with the request's own,
    /// for its first event to be in time.
    [[nodiscard]] std::uint64_t max_unread_tokens(wait_stage stage) const;

    /// When the caller of a request that is turned away should come back.
    [[nodiscard]] core::duration retry_after(core::time_point now) const;

    friend bool operator==(const wait_policy&, const wait_policy&) = default;

private:
    explicit wait_policy(const wait_parameters& terms) : terms_(terms) {}

    wait_parameters terms_;
};

} // namespace godwit::admission
