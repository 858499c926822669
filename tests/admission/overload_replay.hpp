#pragma once

#include <godwit/admission/start_predictor.hpp>
#include <godwit/admission/wait_policy.hpp>
#include <godwit/core/random.hpp>
#include <godwit/core/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace godwit::admission::test {

/// A kind of streams of the replayed load.
struct stream_kind
{
    double per_second = 0; ///< At normal load, at all hosts together.
    int priority = 0;
    core::duration objective{};
    core::duration deadline{};
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    core::duration run{}; ///< From its start to its end.
};

struct replay_settings
{
    bool predicts = false;
    /// Whether capacity goes to the first stream of all hosts, not by chance.
    bool shares_order = false;
    std::size_t hosts = 6;
    /// Requests retry at another host of the cell.
    double load = 3; ///< From second 5 on, for ten seconds; otherwise 1.
    /// From second 10 on this share of the capacity is left.
    double capacity_left = 1;
    std::uint64_t seed = 1;
};

struct replay_result
{
    std::size_t first_attempts = 0;
    std::size_t in_time = 0; ///< Started within their timely stage.
    std::size_t late = 0;
    std::size_t refusals = 0;
    std::size_t immediate_refusals = 0; ///< Within 50 ms.
    std::size_t predicted_refusals = 0;
    std::size_t told_retries = 0; ///< Callers that retried when told.
    std::size_t told_retries_served = 0;

    replay_result& operator+=(const replay_result& more);

    [[nodiscard]] std::string to_string() const;
};

/// Replays overload of one cell in virtual time with the decisions of its
/// hosts. Servers are a common memory that any host's stream may take.
class overload_replay
{
public:
    overload_replay(replay_settings settings, std::vector<stream_kind> kinds);

    /// Runs 45 s; kinds have the memory that `capacity` tokens are.
    [[nodiscard]] replay_result run(std::uint64_t capacity);

private:
    struct stream
    {
        std::size_t kind = 0;
        request_fingerprint fingerprint;
        core::time_point arrival;
        core::time_point deadline;
        bool is_retry = false;
        bool was_told = false; ///< It retries when it was told.
        retry_kind retry = retry_kind::none;
        wait_policy policy;
        wait_stage stage = wait_stage::timely;
        core::time_point stage_since;
        core::time_point next_attempt;
        core::time_point next_check;
        core::time_point latest;
        std::optional<core::duration> predicted;
        bool is_checked = false;
    };

    using queue_key = std::tuple<int, int, std::uint64_t>;

    struct host
    {
        start_predictor predictor;
        std::map<queue_key, stream> queue;
        std::vector<announced_retry> unsent;
    };

    void arrive(std::size_t kind, std::size_t at, core::time_point now);
    void add(std::size_t at, stream added, core::time_point now);
    void start(host& at, const stream& started, core::time_point now);
    [[nodiscard]] std::vector<std::size_t> order_of_hosts();
    void try_heads(core::time_point now);
    bool try_start(host& at, stream& waiting, core::time_point now);
    void check_queue(std::size_t at, core::time_point now);
    [[nodiscard]] bool
    keeps(host& at, stream& waiting, core::time_point now, bool is_waiting);
    void refuse(
        std::size_t at,
        const stream& refused,
        core::duration retry_after,
        core::time_point now);
    void exchange(core::time_point now);
    [[nodiscard]] queue_key key_of(const stream& waiting);
    [[nodiscard]] work_amount work_of(const stream& of) const;
    [[nodiscard]] static int order_of(const stream& of, wait_stage stage);

    replay_settings settings_;
    std::vector<stream_kind> kinds_;
    core::random arrivals_;
    core::random random_;
    std::vector<host> hosts_;
    std::uint64_t free_ = 0;
    std::uint64_t sequence_ = 0;
    std::multimap<core::time_point, std::uint64_t> ends_;
    std::multimap<core::time_point, std::pair<std::size_t, stream>> retries_;
    replay_result result_;
};

} // namespace godwit::admission::test
