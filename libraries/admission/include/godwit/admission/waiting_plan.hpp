#pragma once

#include <godwit/core/time.hpp>

#include <cstdint>

namespace godwit::admission {

/// What is known of a request that wants room.
struct waiting_terms
{
    core::time_point arrived;
    core::time_point ends;      ///< Its caller leaves then.
    core::duration objective{}; ///< Until its first event.
    int priority = 0;           ///< 0 is the most urgent.

    friend bool
    operator==(const waiting_terms&, const waiting_terms&) = default;
};

/// Why a request waits, or that it does not any more.
enum class waiting_stage
{
    timely, ///< It can still be begun in time.
    late,   ///< It will be late, and its caller still wants it.
    over,   ///< It is turned away, and told when to come back.
};

/// The name of `stage` as it appears in logs.
[[nodiscard]] const char* to_string(waiting_stage stage) noexcept;

/// How one request waits for room, when load is above what the engines hold:
/// in which order, how often it looks, and when it is turned away.
///
/// Answers bursts of a few seconds. What can be in time goes first, since
/// every place that a late request takes makes another one late. What is late
/// still is served out of what is left over: a caller who waits for minutes
/// of text wants it late rather than not at all. What would end only after
/// its caller has left is turned away while it can still come back.
class waiting_plan
{
public:
    [[nodiscard]] static waiting_plan create(const waiting_terms& terms);

    [[nodiscard]] waiting_stage stage(core::time_point now) const;

    /// When the stage ends, unless there is room before.
    [[nodiscard]] core::time_point stage_end(waiting_stage stage) const;

    /// The place in the line: lower goes first.
    [[nodiscard]] int rank(waiting_stage stage) const;

    /// The earliest next look for room after one that found none.
    [[nodiscard]] core::time_point
    next_look(waiting_stage stage, core::time_point now) const;

    /// Prompt tokens that an engine may have to read, with the request's own,
    /// for its first event to be in time.
    [[nodiscard]] std::uint64_t most_unread_tokens(waiting_stage stage) const;

    /// When the caller of a request that is turned away should come back.
    [[nodiscard]] core::duration come_back_after(core::time_point now) const;

    friend bool operator==(const waiting_plan&, const waiting_plan&) = default;

private:
    explicit waiting_plan(const waiting_terms& terms) : terms_(terms) {}

    waiting_terms terms_;
};

} // namespace godwit::admission
