#pragma once

#include "fake_server.hpp"
#include "fake_store.hpp"

#include <godwit/entry/entry_process.hpp>
#include <godwit/platform_adapter/platform_sources.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace godwit::platform_adapter::test {

/// Settings of an entry host "h1" that is alone, at ports that are free now.
[[nodiscard]] entry::entry_settings settings_on_free_ports();

/// An entry host at ports that are free, linked to `seeds`.
[[nodiscard]] std::unique_ptr<entry::entry_process> start_process(
    boost::asio::io_context& context, const std::vector<http::endpoint>& seeds);

/// The table of the tests in a version, as its operator writes it.
[[nodiscard]] std::string table_text(
    unsigned version, const std::string& extra_key = "", unsigned hold_ms = 0);

/// An entry host with a store and two servers of the service "lm", each on
/// threads of their own: the outside on one, the entry host on another.
class testbed
{
public:
    testbed();
    ~testbed();

    testbed(const testbed&) = delete;
    testbed& operator=(const testbed&) = delete;

    fake_store& store() { return *store_; }

    /// Follows the store's topics once more, as after a new start of the
    /// process under its name.
    void restart_sources();

    fake_server& first_server() { return *first_; }

    fake_server& second_server() { return *second_; }

    /// From the next version on engines keep room for requests, for at most
    /// so many milliseconds.
    void enable_holds(unsigned longest_ms) { hold_ms_ = longest_ms; }

    /// Later requests say that they have so many prompt tokens, and write so
    /// many at the most: "prompt,most".
    void set_token_usage(std::string usage) { token_usage_ = std::move(usage); }

    /// Publishes the table of the tests as `version`.
    void publish(unsigned version, const std::string& extra_key = "");

    /// The record that publishes the table as `version`.
    [[nodiscard]] fake_store::rewritten_record
    table_record(unsigned version, const std::string& extra_key = "") const;

    /// Lists the server so, and waits until the entry host believes it.
    void register_server(fake_server& server, const std::string& state);

    /// Lists the server with a new start time, and waits until the entry host
    /// has it.
    void restart(fake_server& server);

    /// Publishes version 1, lists both servers and waits until ready.
    void start();

    /// The same, and from then on only neighbours bring what is newer: the
    /// store answers nobody.
    void start_without_store();

    /// As `start`, but lists only the first server.
    void start_with_first_server();

    /// Sends a request with the key "k1" and the id "a1".
    [[nodiscard]] http::response call(
        const std::string& method,
        const std::string& path,
        const std::string& key = "k1");

    /// What a caller of the stream gets; nothing if it was cut.
    [[nodiscard]] std::optional<http::response> try_stream();

    /// Sends a POST request with this body; nothing if the answer was cut.
    [[nodiscard]] std::optional<http::response> try_call(
        const std::string& path,
        const std::string& body,
        const std::string& key = "k1");

    /// Sends the same request and closes the connection after so long.
    void call_and_disconnect(const std::string& path, int after_ms);

    /// Asks for a page on the operators' address.
    [[nodiscard]] http::response get_operator_page(const std::string& page);

    /// Memory that the entry host believes to be on its way to the server.
    [[nodiscard]] std::uint64_t arriving_tokens_at(const fake_server& server);

    /// Where callers connect.
    [[nodiscard]] http::endpoint callers() const;

    /// Where other entry hosts connect.
    [[nodiscard]] http::endpoint neighbours() const;

    /// The version of the route table in force.
    [[nodiscard]] std::uint64_t table_version();

    /// Suspends the entry host's machine for so long on its clocks, while
    /// `meanwhile` runs.
    void
    suspend(std::chrono::seconds span, const std::function<void()>& meanwhile);

    /// Whether the entry host says that it is ready.
    [[nodiscard]] bool is_ready();

    /// Waits until `condition` holds; fails the test after five seconds.
    static void
    wait_until(const std::string& what, const std::function<bool()>& condition);

    /// Runs `run_on_host` on the entry host's thread.
    template<class Value>
    Value
    run_on_host(const std::function<Value(entry::entry_process&)>& function);

private:
    [[nodiscard]] http::response
    send(const http::endpoint& to, http::request request);

    boost::asio::io_context platform_context_{1};
    boost::asio::io_context host_context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        platform_work_;
    std::unique_ptr<fake_store> store_;
    std::unique_ptr<fake_server> first_;
    std::unique_ptr<fake_server> second_;
    std::unique_ptr<entry::entry_process> process_;
    std::unique_ptr<platform_sources> sources_;
    std::unique_ptr<platform_sources> restarted_sources_;
    std::thread platform_thread_;
    std::thread host_thread_;
    unsigned sequence_ = 0;
    std::uint64_t started_at_ms_ = 0;
    unsigned hold_ms_ = 0;
    std::string token_usage_ = "100,50";
};

} // namespace godwit::platform_adapter::test
