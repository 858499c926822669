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
#include <utility>
#include <variant>
#include <vector>

namespace godwit::platform_adapter::test {

/// Entry hosts "n0", "n1", ... or with another prefix, that are linked to the
/// one under test and run on their own thread. All members are thread-safe.
class fake_neighbours
{
public:
    /// Returns a neighbour's response to a pull of a table, if any.
    using pull_handler =
        std::function<std::optional<wire::message>(const wire::pull&)>;

    /// Connects `count` neighbours to `host`.
    fake_neighbours(
        std::size_t count,
        const http::endpoint& host,
        pull_handler handler,
        const std::string& name_prefix = "n");
    ~fake_neighbours();

    fake_neighbours(const fake_neighbours&) = delete;
    fake_neighbours& operator=(const fake_neighbours&) = delete;

    /// Sends the message from each neighbour, once all are linked.
    void broadcast(const wire::message& message);

    /// Announces this route table version as that of each neighbour.
    void announce_table_version(std::uint64_t version);

    /// Returns the names of the neighbours that received a pull, in order.
    [[nodiscard]] std::vector<std::string> pull_receivers() const;

    /// Returns the received crash reports, in order.
    [[nodiscard]] std::vector<wire::crash_reports> crash_reports() const;

    /// Returns the received server limits, in order.
    [[nodiscard]] std::vector<wire::server_limits> limits() const;

    /// Returns the received evacuations, in order.
    [[nodiscard]] std::vector<wire::zone_evacuations> evacuations() const;

    /// Returns the received messages of this type, with their receivers, in
    /// order.
    template<class Message>
    [[nodiscard]] std::vector<std::pair<std::string, Message>> received() const;

    /// Sends the message from one neighbour, once all are linked.
    void send_from(std::size_t neighbour, const wire::message& message);

    /// Returns whether each neighbour's link is open.
    [[nodiscard]] bool are_linked();

    /// Returns the received messages with tables or changes, in order.
    [[nodiscard]] std::vector<wire::message> table_messages() const;

private:
    void connect(
        const std::string& name, const boost::asio::ip::tcp::endpoint& host);
    void receive(
        const std::string& name,
        const std::shared_ptr<wire::link>& from,
        const wire::message& message);

    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work_;
    pull_handler pull_handler_;
    std::vector<std::shared_ptr<wire::connector>> connectors_;
    mutable std::mutex mutex_;
    std::vector<std::pair<std::string, wire::message>> received_;
    std::vector<std::string> pull_receivers_;
    std::vector<wire::message> table_messages_;
    std::vector<wire::server_limits> limits_;
    std::vector<wire::zone_evacuations> evacuations_;
    std::vector<wire::crash_reports> crash_reports_;
    std::thread thread_;
};

template<class Message>
std::vector<std::pair<std::string, Message>> fake_neighbours::received() const
{
    const std::lock_guard guard(mutex_);
    std::vector<std::pair<std::string, Message>> found;
    for (const auto& [receiver, message] : received_) {
        if (const auto* one = std::get_if<Message>(&message))
            found.emplace_back(receiver, *one);
    }
    return found;
}

} // namespace godwit::platform_adapter::test
