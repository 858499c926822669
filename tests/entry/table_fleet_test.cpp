// Simulates how versions of a large route table spread in a fleet of 300 hosts
// with slow links, with the request logic of entry hosts. Only one host of each
// cell reaches the source.

#include <godwit/entry/table_fetch_scheduler.hpp>
#include <godwit/entry/table_request_queue.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace godwit;

constexpr std::size_t cells = 10;
constexpr std::size_t hosts_per_cell = 30;
constexpr std::size_t hosts = cells * hosts_per_cell;
constexpr core::duration step = std::chrono::milliseconds(10);
// 10 Mbit/s.
constexpr std::size_t link_bytes_per_step = 12'500;
// Of a table of 15,000 routes.
constexpr std::size_t full_table_bytes = 266'000;
constexpr std::size_t change_bytes = 1'005;
constexpr std::size_t announcement_bytes = 64;

/// A message from one host to another, and its bytes that are not sent yet.
struct slow_link : std::enable_shared_from_this<slow_link>
{
    std::size_t to = 0;
    std::size_t bytes = 0;
    std::uint64_t version = 0; ///< Of the response in flight; 0 for none.

    [[nodiscard]] static bool is_open() { return true; }

    [[nodiscard]] std::size_t queued() const { return bytes; }
};

struct host
{
    explicit host(std::size_t number)
        : fetches(core::host_name("h" + std::to_string(number)))
    {}

    std::uint64_t version = 0;
    std::size_t received_bytes = 0;
    entry::table_fetch_scheduler fetches;
    /// Requests, each with the requesting host's version.
    entry::table_request_queue<slow_link, std::uint64_t> requests;
    std::vector<std::shared_ptr<slow_link>> sending;
};

class fleet
{
public:
    fleet()
    {
        for (std::size_t number = 0; number < hosts; ++number)
            hosts_.emplace_back(number);
    }

    /// Delivers the version from the source to one host of each cell.
    void publish(std::uint64_t version)
    {
        for (std::size_t cell = 0; cell < cells; ++cell)
            receive(cell * hosts_per_cell, version);
    }

    void run(core::duration duration)
    {
        const core::time_point end = now_ + duration;
        for (; now_ < end; now_ += step) {
            for (std::size_t at = 0; at < hosts; ++at)
                send(at);
            for (std::size_t at = 0; at < hosts; ++at)
                send_request(at);
        }
    }

    /// Returns the time until every host has the version.
    core::duration spread(std::uint64_t version)
    {
        const core::time_point begin = now_;
        while (!all_have(version) && now_ - begin < std::chrono::seconds(60))
            run(step);
        return now_ - begin;
    }

    [[nodiscard]] std::size_t max_received() const
    {
        std::size_t most = 0;
        for (std::size_t at = 0; at < hosts; ++at) {
            if (at % hosts_per_cell != 0)
                most = std::max(most, hosts_[at].received_bytes);
        }
        return most;
    }

    void reset_received()
    {
        for (host& each : hosts_)
            each.received_bytes = 0;
    }

private:
    [[nodiscard]] bool all_have(std::uint64_t version) const
    {
        return std::all_of(
            hosts_.begin(), hosts_.end(), [version](const host& each) {
                return each.version >= version;
            });
    }

    // Hosts of the same cell, and the counterpart in each other one.
    [[nodiscard]] static bool are_linked(std::size_t one, std::size_t other)
    {
        return one != other &&
               (one / hosts_per_cell == other / hosts_per_cell ||
                one % hosts_per_cell == other % hosts_per_cell);
    }

    [[nodiscard]] static std::size_t number_of(const core::host_name& name)
    {
        return std::stoul(name.value().substr(1));
    }

    void receive(std::size_t at, std::uint64_t version)
    {
        host& receiver = hosts_[at];
        if (version <= receiver.version)
            return;
        receiver.version = version;
        receiver.fetches.set_own_version(version, now_);
        const core::host_name name("h" + std::to_string(at));
        for (std::size_t other = 0; other < hosts; ++other) {
            if (!are_linked(at, other))
                continue;
            hosts_[other].received_bytes += announcement_bytes;
            hosts_[other].fetches.record_version(name, version, now_);
        }
    }

    void send_request(std::size_t at)
    {
        const auto request = hosts_[at].fetches.next(now_);
        if (!request)
            return;
        const std::size_t asked = number_of(request->neighbour);
        auto link = std::make_shared<slow_link>();
        link->to = at;
        hosts_[asked].requests.add(link, hosts_[at].version, now_);
    }

    // Sends the responses in order, as many bytes as the link carries in a
    // step.
    void send(std::size_t at)
    {
        host& sender = hosts_[at];
        sender.requests.serve(
            now_, [&sender](slow_link& link, std::uint64_t known) {
                link.version = sender.version;
                link.bytes = known == 0
                                 ? full_table_bytes
                                 : (sender.version - known) * change_bytes;
                sender.sending.push_back(link.shared_from_this());
            });
        std::size_t left = link_bytes_per_step;
        while (left > 0 && !sender.sending.empty()) {
            const auto link = sender.sending.front();
            const std::size_t sent = std::min(left, link->bytes);
            left -= sent;
            link->bytes -= sent;
            hosts_[link->to].received_bytes += sent;
            if (link->bytes > 0)
                return;
            sender.sending.erase(sender.sending.begin());
            deliver(at, *link);
        }
    }

    void deliver(std::size_t from, const slow_link& link)
    {
        receive(link.to, link.version);
        hosts_[link.to].fetches.record_response(
            core::host_name("h" + std::to_string(from)), now_);
    }

    std::vector<host> hosts_;
    core::time_point now_{std::chrono::seconds(100)};
};

class table_fleet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(table_fleet_test);
    CPPUNIT_TEST(test_a_small_change_reaches_all_hosts_in_half_a_second);
    CPPUNIT_TEST(test_a_burst_of_versions_reaches_all_hosts_in_time);
    CPPUNIT_TEST(test_a_fleet_without_a_table_receives_it_in_time);
    CPPUNIT_TEST_SUITE_END();

    static constexpr core::duration target = std::chrono::milliseconds(500);
    static constexpr core::duration max_initial_spread =
        std::chrono::seconds(4);
    static constexpr std::size_t max_bytes_per_change = 4000;

    fleet tested_;

    void begin()
    {
        tested_.publish(1);
        tested_.spread(1);
        tested_.run(std::chrono::seconds(5));
        tested_.reset_received();
    }

    void test_a_small_change_reaches_all_hosts_in_half_a_second()
    {
        begin();
        tested_.publish(2);
        CPPUNIT_ASSERT(tested_.spread(2) <= target);
        CPPUNIT_ASSERT(tested_.max_received() <= max_bytes_per_change);
    }

    void test_a_burst_of_versions_reaches_all_hosts_in_time()
    {
        constexpr std::uint64_t last = 12;
        begin();
        for (std::uint64_t version = 2; version <= last; ++version) {
            tested_.publish(version);
            tested_.run(std::chrono::milliseconds(130));
        }
        CPPUNIT_ASSERT(tested_.spread(last) <= target);
        CPPUNIT_ASSERT(
            tested_.max_received() <= (last - 1) * max_bytes_per_change);
    }

    // As after a power loss of all hosts while the source refuses most
    // requests.
    void test_a_fleet_without_a_table_receives_it_in_time()
    {
        tested_.publish(1);
        CPPUNIT_ASSERT(tested_.spread(1) <= max_initial_spread);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_fleet_test);

} // namespace
