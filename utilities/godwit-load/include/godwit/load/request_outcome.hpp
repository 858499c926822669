#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace godwit::load {

/// How a request ended for the caller.
enum class request_outcome
{
    completed,
    not_run,     ///< Refused, and said not to have run.
    interrupted, ///< Said to be interrupted.
    unknown,     ///< Said to be unknown.
    rejected,    ///< An error answer without an outcome.
    broken,      ///< The connection failed or broke without a word.
    timed_out,   ///< Nothing came within the run's patience.
    not_sent,    ///< The run's bound of requests in flight was reached.
};

/// Every outcome, in the order of the reports.
inline constexpr std::array all_outcomes{
    request_outcome::completed,
    request_outcome::not_run,
    request_outcome::interrupted,
    request_outcome::unknown,
    request_outcome::rejected,
    request_outcome::broken,
    request_outcome::timed_out,
    request_outcome::not_sent};

/// The name of an outcome in reports.
[[nodiscard]] std::string_view to_string(request_outcome value) noexcept;

/// The place of an outcome in `all_outcomes`.
[[nodiscard]] constexpr std::size_t index_of(request_outcome value) noexcept
{
    return static_cast<std::size_t>(value);
}

} // namespace godwit::load
