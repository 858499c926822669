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

/// A text of the route table that came to this host.
struct received_table
{
    std::string text;
    std::string source;
    std::size_t received_bytes = 0; ///< That came over the link for it.
    /// How it follows from the one in force, where it came as that.
    std::optional<wire::table_changes> changes = {};
};

/// Reads arrived tables one after the other in slices, between which the
/// executor serves what else is ready. A large table would otherwise hold up
/// every request for as long as its reading takes.
class table_loader
{
public:
    /// What it asks of its host, and tells it.
    struct handlers
    {
        /// Begins to read a text, which stays until the reading's end.
        std::function<table_parser(std::string_view)> start_parsing;
        /// Whether the text is worth reading; asked before its reading.
        std::function<bool(const received_table&)> is_new;
        /// It was read, or cannot be.
        std::function<void(
            received_table,
            const core::result<std::shared_ptr<const routing::route_table>>&)>
            on_parsed;
    };

    /// Tables that wait; beyond it the oldest one is dropped, as only the
    /// newest has to come into force.
    static constexpr std::size_t max_waiting = 4;

    table_loader(boost::asio::any_io_executor executor, handlers callbacks);

    table_loader(const table_loader&) = delete;
    table_loader& operator=(const table_loader&) = delete;

    /// The object must live as long as the executor runs.
    void add(received_table table);

    /// Whether a table is being read.
    [[nodiscard]] bool is_busy() const noexcept { return is_running_; }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> read(received_table table);

    boost::asio::any_io_executor executor_;
    handlers handlers_;
    std::deque<received_table> waiting_;
    bool is_running_ = false;
};

} // namespace godwit::entry
