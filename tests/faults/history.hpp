#pragma once

#include <godwit/core/outcome.hpp>
#include <godwit/core/time.hpp>
#include <godwit/request/fail_reason.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace godwit::faults {

/// One token, or the one body of a service's answer, with its true origin.
struct token
{
    std::string origin; ///< The generation, or the try that the service ran.
    std::uint64_t offset = 0;

    friend bool operator==(const token&, const token&) = default;
};

/// How a try ended for its caller.
enum class ending
{
    open,
    completed,
    failed,
    connection_lost,
    left_by_caller,
};

/// One HTTP request of a caller and what the caller got.
struct caller_try
{
    std::string id;
    std::optional<std::string> continues; ///< The try whose stream it resumes.
    std::string key;                      ///< Empty without a key.
    std::size_t host = 0;
    core::time_point begun{};
    core::time_point ended{};
    std::optional<core::time_point> deadline;
    ending end = ending::open;
    core::outcome result = core::outcome::unknown;
    request::fail_reason reason = request::fail_reason::backend_error;
    bool has_retry_after = false;
    std::vector<token> received;
};

/// Something that a backend server really ran.
struct backend_run
{
    std::string try_id;
    std::string key;
    core::time_point at{};
};

/// New work that was given to a backend server.
struct work_given
{
    std::size_t server = 0;
    core::time_point at{};
};

/// All that the checker needs to know of one cell's run.
struct history
{
    std::vector<caller_try> tries;
    std::vector<backend_run> runs;
    std::vector<work_given> given;
    /// When a host saw the first sign that the server leaves.
    std::vector<std::optional<core::time_point>> leaving_since;
    /// When dispatch refused a try, by number of the try.
    std::vector<std::optional<core::time_point>> refused_at;
    std::optional<core::time_point> drain_began;
    core::duration drain_wait{};
    std::size_t unclean_reuse = 0; ///< Connections kept with an answer open.
    std::size_t empty_pools = 0;   ///< Requests that found no server at all.
    std::uint64_t answer_length = 0;
    bool settled = false; ///< Everybody had a final answer in bounded time.
    bool repeatable = true;
    bool fault_injected = false;
    bool paused = false; ///< A process stood still and can be late.
};

} // namespace godwit::faults
