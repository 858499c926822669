#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace godwit::faults {

enum class fault
{
    engine_dies,
    engine_refuses,
    engine_stalls,
    engine_late,
    engine_crossed,
    engine_preempts,
    process_dies,
    process_pauses,
    link_cut,
    log_down,
    log_slow,
    append_answer_lost,
    host_list_stale,
    leaving,
    caller_gone,
};

inline constexpr int fault_count = 15;

enum class moment
{
    accepted,
    queued,
    claimed,
    connecting,
    sent,
    first_token,
    mid_stream,
    last_token,
    finishing,
    resuming,
    draining,
};

inline constexpr int moment_count = 11;

enum class workload
{
    streamed,          ///< A repeatable generation, streamed.
    whole,             ///< The same, as one answer.
    call,              ///< A repeatable call to a plain service.
    booking,           ///< A keyed call that may not be repeated.
    doubled_booking,   ///< The same, arriving at two entry hosts at once.
    unkeyed_booking,   ///< A call that may not be repeated, without a key.
    ledger_generation, ///< A keyed generation that may not be repeated.
};

inline constexpr int workload_count = 7;

/// From this seed on, dispatch refuses the first request of each host.
inline constexpr std::uint64_t first_refusing_seed = 4;

/// One cell of the matrix: these faults, all at this moment of the first
/// try; the same fault twice comes again 400 ms later.
struct cell
{
    workload work = workload::streamed;
    moment when = moment::accepted;
    std::vector<fault> faults;
    std::uint64_t seed = 0;
};

/// Whether requests of this kind come to this moment at all: only keyed ones
/// are claimed, and only generations have tokens and are resumed.
[[nodiscard]] bool comes_to(workload work, moment when);

[[nodiscard]] bool is_service(workload work);
[[nodiscard]] bool is_keyed(workload work);

[[nodiscard]] std::string_view to_string(fault value);
[[nodiscard]] std::string_view to_string(moment value);
[[nodiscard]] std::string_view to_string(workload value);
[[nodiscard]] std::string to_string(const cell& value);

} // namespace godwit::faults
