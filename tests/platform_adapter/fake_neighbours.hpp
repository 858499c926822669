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
class stand_in_neighbours
{
public:
    /// What a neighbour answers to a question for a table, if anything.
    using answer_to_pull =
        std::function<std::optional<wire::message>(const wire::pull&)>;

    /// Connects `count` of them to `host`.
    stand_in_neighbours(
        std::size_t count, const http::endpoint& host, answer_to_pull answer);
    ~stand_in_neighbours();

    stand_in_neighbours(const stand_in_neighbours&) = delete;
    stand_in_neighbours& operator=(const stand_in_neighbours&) = delete;

    /// Each of them says this, once all are linked.
    void say(const wire::message& said);

    /// Each of them has this version of the route table in force.
    void announce(std::uint64_t version);

    /// The names of those that were asked for a table, in their order.
    [[nodiscard]] std::vector<std::string> asked() const;

    /// The crash reports that they received, in order.
    [[nodiscard]] std::vector<wire::crash_reports> crash_reports() const;

    /// The server limits that they received, in order.
    [[nodiscard]] std::vector<wire::server_limits> limits() const;

    /// What they were told of tables, in its order.
    [[nodiscard]] std::vector<wire::message> tables() const;

private:
    [[nodiscard]] bool are_linked();
    void connect(
        const std::string& name, const boost::asio::ip::tcp::endpoint& host);
    void hear(
        const std::string& name,
        const std::shared_ptr<wire::link>& from,
        const wire::message& said);

    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work_;
    answer_to_pull answer_;
    std::vector<std::shared_ptr<wire::connector>> connectors_;
    mutable std::mutex mutex_;
    std::vector<std::string> asked_;
    std::vector<wire::message> tables_;
    std::vector<wire::server_limits> limits_;
    std::vector<wire::crash_reports> crash_reports_;
    std::thread thread_;
};

} // namespace godwit::platform_adapter::test
