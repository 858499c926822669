#pragma once

#include <godwit/http/endpoint.hpp>
#include <godwit/http/server.hpp>

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace godwit::platform_adapter::test {

/// The platform's store as the adapter sees it: keyed topics in memory, one
/// partition each. `put` and the switches may be used on any thread.
class fake_store
{
public:
    explicit fake_store(boost::asio::io_context& context);

    [[nodiscard]] const http::endpoint& address() const;

    /// Appends a record; nothing drops the key.
    void
    put(const std::string& topic,
        const std::string& key,
        std::optional<std::string> value);

    /// Appends a record of which not even the key can be read.
    void put_unreadable(const std::string& topic);

    /// Pages of the newest records hold so many at the most.
    void set_page_size(std::size_t items) { page_size_ = items; }

    /// Every call is answered with this status; 0 serves again.
    void set_status(unsigned status) { status_ = status; }

    /// Forgets the records that were read; the newest of each key stay.
    void compact();

    /// A record that the store gets again after it was restored.
    struct rewritten_record
    {
        std::string topic;
        std::string key;
        std::optional<std::string> value;
    };

    /// Names an era in every answer from now on.
    void set_epoch(std::optional<std::string> epoch);

    /// Keeps a copy of all records, for `restore`.
    void back_up();

    /// Restarts from the copy in the next era: what came since is lost, its
    /// offsets are given out again, first to `records`. Reads stay open.
    void restore(const std::vector<rewritten_record>& records = {});

    /// Reads that are open now are never answered.
    void drop_open_reads() { ++dropped_reads_; }

    /// Returns the key and value of the newest record that has a value and
    /// whose key starts with `key_prefix`.
    [[nodiscard]] std::optional<std::pair<std::string, std::string>>
    find(const std::string& topic, const std::string& key_prefix);

    /// Whether the newest record of the key has a value.
    [[nodiscard]] bool has(const std::string& topic, const std::string& key);

    /// Calls so far.
    [[nodiscard]] unsigned calls() const { return calls_; }

    /// Those of them that appended.
    [[nodiscard]] unsigned appends() const { return appends_; }

private:
    struct record
    {
        std::string key;
        std::optional<std::string> value;
        bool is_unreadable = false;
    };

    struct topic_log
    {
        std::vector<record> records;
        std::size_t first = 0;
    };

    boost::asio::awaitable<void> serve(http::exchange& asked);
    boost::asio::awaitable<void>
    respond(http::exchange& asked, http::response answer);
    boost::asio::awaitable<void> read(http::exchange& asked);
    [[nodiscard]] std::string
    newest(const std::string& topic, const std::string& after);
    [[nodiscard]] static std::string bytes_of(const record& one);
    void append(const std::string& topic, const std::string& body);

    std::mutex mutex_;
    std::map<std::string, topic_log> topics_;
    std::map<std::string, topic_log> backup_;
    std::optional<std::string> epoch_ = "1";
    unsigned restores_ = 0;
    std::atomic<std::size_t> page_size_ = 500;
    std::atomic<unsigned> status_ = 0;
    std::atomic<unsigned> calls_ = 0;
    std::atomic<unsigned> appends_ = 0;
    std::atomic<unsigned> dropped_reads_ = 0;
    std::unique_ptr<http::server> server_;
};

} // namespace godwit::platform_adapter::test
