#pragma once

#include <godwit/http/endpoint.hpp>
#include <godwit/wire/connector.hpp>
#include <godwit/wire/message.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace godwit::platform_adapter::test {

/// Entry hosts "n0", "n1", ... that are linked to the one under test, on a
/// thread of their own. Every member may be used on any thread.
class fake_neighbours
{
public:
    /// What a neighbour answers to a question for a table, if anything.
    using pull_handler =
        std::function<std::optional<wire::message>(const wire::pull&)>;

    /// Connects `count` of them to `host`.
    fake_neighbours(
        std::size_t count, const http::endpoint& host, pull_handler answer);
    ~fake_neighbours();

    fake_neighbours(const fake_neighbours&) = delete;
    fake_neighbours& operator=(const fake_neighbours&) = delete;

    /// Each of them says this, once all are linked.
    void broadcast(const wire::message& said);

    /// Each of them has this version of the route table in force.
    void announce_table_version(std::uint64_t version);

    /// The names of those that were asked for a table, in their order.
    [[nodiscard]] std::vector<std::string> pull_receivers() const;

    /// The crash reports that they received, in order.
    [[nodiscard]] std::vector<wire::crash_reports> crash_reports() const;

    /// The server limits that they received, in order.
    [[nodiscard]] std::vector<wire::server_limits> limits() const;

    /// What they were told of tables, in its order.
    [[nodiscard]] std::vector<wire::message> table_messages() const;

private:
    [[nodiscard]] bool are_linked();
    void connect(
        const std::string& name, const boost::asio::ip::tcp::endpoint& host);
    void receive(
        const std::string& name,
        const std::shared_ptr<wire::link>& from,
        const wire::message& said);

    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work_;
    pull_handler pull_handler_;
    std::vector<std::shared_ptr<wire::connector>> connectors_;
    mutable std::mutex mutex_;
    std::vector<std::string> pull_receivers_;
    std::vector<wire::message> table_messages_;
    std::vector<wire::server_limits> limits_;
    std::vector<wire::crash_reports> crash_reports_;
    std::thread thread_;
};

} // namespace godwit::platform_adapter::test
