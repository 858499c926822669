#pragma once

#include <godwit/core/time.hpp>

#include <cstdint>

namespace godwit::admission {

/// What decides whether a stream that lost its server goes on in a new run.
struct interrupted_run
{
    bool is_resumable = false; ///< As the route says.
    /// Whether it is known after which event the new run has to go on.
    bool is_position_known = true;
    unsigned runs = 0; ///< Runs that a server may have begun.
    unsigned max_runs = 1;
    core::time_point deadline;
    bool is_host_stopping = false;

    friend bool
    operator==(const interrupted_run&, const interrupted_run&) = default;
};

/// The verdict on an interrupted run.
enum class resumption_verdict
{
    allowed,
    not_resumable,
    position_unknown,
    no_runs_left,
    no_time_left,
    host_stopping,
};

/// The name of `verdict` in logs.
[[nodiscard]] const char* to_string(resumption_verdict verdict) noexcept;

/// Decides whether an interrupted stream may go on in a new run. The retry
/// budget comes on top: a run that is allowed still has to be paid for.
///
/// Answers engines that leave or crash: short streams are lost with them, since
/// a run that has just begun has no copy elsewhere.
[[nodiscard]] resumption_verdict
judge_resumption(const interrupted_run& run, core::time_point now) noexcept;

/// Follows the ids of a stream's events, so that a new run neither repeats an
/// event nor leaves one out.
class event_sequence
{
public:
    /// What to do with an event.
    enum class verdict
    {
        deliver,
        repeated, ///< The caller already has it.
        gap,      ///< An event before it is missing.
    };

    /// Starts after the event that the caller says it has.
    void start_after(std::uint64_t last_event) noexcept;

    /// Judges the next event and records it unless it is repeated.
    [[nodiscard]] verdict accept(std::uint64_t id) noexcept;

    /// The last delivered event; 0 if there is none.
    [[nodiscard]] std::uint64_t last() const noexcept { return last_; }

    /// Whether the caller has an event.
    [[nodiscard]] bool has_last() const noexcept { return has_last_; }

    friend bool
    operator==(const event_sequence&, const event_sequence&) = default;

private:
    std::uint64_t last_ = 0;
    bool has_last_ = false;
    /// Whether the last two ids were consecutive. Ids only have to increase, so
    /// that a missing one shows only where those before it were.
    bool are_ids_consecutive_ = false;
};

} // namespace godwit::admission
