#pragma once

#include <godwit/entry/table_parser.hpp>
#include <godwit/wire/table_changes.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace godwit::entry {

/// A route table as received by this host, not parsed yet.
struct received_table
{
    std::string text;
    std::string source;
    std::size_t received_bytes = 0; ///< Of the text or changes received.
    /// The changes from which the text was made, if it was received as changes.
    std::optional<wire::table_changes> changes = {};
};

/// Parses received tables one after the other in slices, between which the
/// executor runs other ready work. A large table would otherwise block every
/// request for as long as its parsing takes.
class table_loader
{
public:
    /// Callbacks to the owner.
    struct handlers
    {
        /// Starts to parse a text, which stays valid until the end of parsing.
        std::function<table_parser(std::string_view)> start_parsing;
        /// Returns whether the text needs to be parsed; called before its
        /// parsing starts.
        std::function<bool(const received_table&)> is_new;
        /// Called when the table was parsed, or turned out to be invalid.
        std::function<void(
            received_table,
            const core::result<std::shared_ptr<const routing::route_table>>&)>
            on_parsed;
    };

    /// Maximum number of waiting tables. If there are more, the oldest one is
    /// dropped, because only the newest has to become active.
    static constexpr std::size_t max_waiting = 4;

    table_loader(boost::asio::any_io_executor executor, handlers callbacks);

    table_loader(const table_loader&) = delete;
    table_loader& operator=(const table_loader&) = delete;

    /// Queues a table. The object has to outlive the executor's run.
    void add(received_table table);

    /// Returns whether a table is being parsed.
    [[nodiscard]] bool is_busy() const noexcept { return is_running_; }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> parse(received_table table);

    boost::asio::any_io_executor executor_;
    handlers handlers_;
    std::deque<received_table> waiting_;
    bool is_running_ = false;
};

} // namespace godwit::entry
