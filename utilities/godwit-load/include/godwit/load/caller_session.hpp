#pragma once

#include <godwit/core/time.hpp>
#include <godwit/http/client_stream.hpp>
#include <godwit/http/response.hpp>
#include <godwit/load/answer_checker.hpp>
#include <godwit/load/arrival_clock.hpp>
#include <godwit/load/planned_request.hpp>
#include <godwit/load/request_record.hpp>
#include <godwit/load/run_settings.hpp>

#include <boost/asio/awaitable.hpp>

#include <string>

namespace godwit::load {

/// One caller with one request: sends it, checks what comes, measures.
class caller_session
{
public:
    /// Nothing is waited for beyond `end`.
    caller_session(
        const run_settings& settings,
        const planned_request& planned,
        core::time_point end);

    /// Runs the request to its end.
    boost::asio::awaitable<request_record> run();

private:
    /// How one connection of a stream ended.
    enum class stream_end
    {
        over,   ///< The record says how.
        broken, ///< The connection broke; another may continue.
    };

    boost::asio::awaitable<void> run_stream();
    boost::asio::awaitable<stream_end> read_stream_once();
    boost::asio::awaitable<stream_end>
    read_events(http::client_stream& connection);
    boost::asio::awaitable<void>
    read_problem(http::client_stream& connection, unsigned status);
    boost::asio::awaitable<void> run_whole();
    void take_completion(const http::response& answer);
    void take_call(const http::response& answer);
    /// True when the event ends the stream.
    bool take_event(const std::string& name, const std::string& data);
    void take_problem(unsigned status, const std::string& body);
    void take_failure(const http::client_error& failure);
    void complete();
    void find_fault(answer_fault fault, std::string detail);
    [[nodiscard]] bool passes_dead_entry(const http::client_error& failure);
    [[nodiscard]] http::request make_request() const;
    [[nodiscard]] core::duration left() const;

    const run_settings& settings_;
    const planned_request& planned_;
    core::time_point end_;
    std::size_t entry_;
    std::size_t dead_entries_ = 0;
    answer_checker checker_;
    arrival_clock clock_;
    request_record record_;
    std::string last_event_;
};

} // namespace godwit::load
