#pragma once

#include <godwit/http/endpoint.hpp>
#include <godwit/http/server.hpp>

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace godwit::platform_adapter::test {

/// The platform's store as seen by the adapter: keyed topics in memory, one
/// partition each. `put` and the setters may be used on any thread.
class fake_store
{
public:
    explicit fake_store(boost::asio::io_context& context);

    [[nodiscard]] const http::endpoint& address() const;

    /// Appends a record; without a value it deletes the key.
    void
    put(const std::string& topic,
        const std::string& key,
        std::optional<std::string> value);

    /// Appends a malformed record, whose key cannot be read either.
    void put_unreadable(const std::string& topic);

    /// Limits the number of records in a page of newest records.
    void set_page_size(std::size_t items) { page_size_ = items; }

    /// Calls `function` once, before the second page of newest records of a
    /// topic is sent.
    void on_second_page(std::string topic, std::function<void()> function);

    /// Answers every call with this status; 0 restores normal operation.
    void set_status(unsigned status) { status_ = status; }

    /// Drops all records from the log, but keeps the newest of each key.
    void compact();

    /// A record that is written again after a restore.
    struct rewritten_record
    {
        std::string topic;
        std::string key;
        std::optional<std::string> value;
    };

    /// Sets the epoch named in later responses; empty names none.
    void set_epoch(std::optional<std::string> epoch);

    /// Saves a copy of all records for `restore`.
    void back_up();

    /// Restarts from the backup in the next epoch: later records are lost and
    /// their offsets are reused, first for `records`. Open reads stay open.
    void restore(const std::vector<rewritten_record>& records = {});

    /// Leaves the reads that are open now unanswered forever.
    void drop_open_reads() { ++dropped_reads_; }

    /// Returns the key and value of the newest record that has a value and
    /// whose key starts with `key_prefix`.
    [[nodiscard]] std::optional<std::pair<std::string, std::string>>
    find(const std::string& topic, const std::string& key_prefix);

    /// Returns whether the newest record of the key has a value.
    [[nodiscard]] bool has(const std::string& topic, const std::string& key);

    /// Returns the number of calls so far.
    [[nodiscard]] unsigned calls() const { return calls_; }

    /// Returns the number of appends so far.
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

    boost::asio::awaitable<void> serve(http::exchange& exchange);
    boost::asio::awaitable<void>
    respond(http::exchange& exchange, http::response answer);
    boost::asio::awaitable<void> read(http::exchange& exchange);
    [[nodiscard]] std::string
    newest(const std::string& topic, const std::string& after);
    [[nodiscard]] static std::string serialize(const record& one);
    /// Returns whether the records were appended: if `only_at` is not empty,
    /// the topic has to end there.
    bool append(
        const std::string& topic,
        const std::string& body,
        const std::string& only_at);

    [[nodiscard]] std::function<void()>
    take_page_function(const std::string& topic, const std::string& after);

    std::mutex mutex_;
    std::string page_topic_;
    std::function<void()> page_function_;
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
