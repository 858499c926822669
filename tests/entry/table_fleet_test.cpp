// Plays how versions of a large route table spread in a fleet of 300 hosts
// with narrow links, by the decisions that entry hosts make. Only one host of
// each cell reaches the source.

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
constexpr std::size_t hosts_a_cell = 30;
constexpr std::size_t hosts = cells * hosts_a_cell;
constexpr core::duration step = std::chrono::milliseconds(10);
// 10 Mbit/s.
constexpr std::size_t link_bytes_a_step = 12'500;
// Of a table of 15,000 routes.
constexpr std::size_t whole_bytes = 266'000;
constexpr std::size_t change_bytes = 1'005;
constexpr std::size_t word_bytes = 64;

/// What one host sends another one, and what waits to be sent.
struct narrow_link : std::enable_shared_from_this<narrow_link>
{
    std::size_t to = 0;
    std::size_t bytes = 0;
    std::uint64_t version = 0; ///< Of the answer on its way; 0 for none.

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
    /// Asked with the version that the asker has.
    entry::table_request_queue<narrow_link, std::uint64_t> requests;
    std::vector<std::shared_ptr<narrow_link>> sending;
};

class fleet
{
public:
    fleet()
    {
        for (std::size_t number = 0; number < hosts; ++number)
            hosts_.emplace_back(number);
    }

    /// The version comes from the source to one host of each cell.
    void publish(std::uint64_t version)
    {
        for (std::size_t cell = 0; cell < cells; ++cell)
            take(cell * hosts_a_cell, version);
    }

    void run(core::duration span)
    {
        const core::time_point end = now_ + span;
        for (; now_ < end; now_ += step) {
            for (std::size_t at = 0; at < hosts; ++at)
                send(at);
            for (std::size_t at = 0; at < hosts; ++at)
                ask(at);
        }
    }

    /// How long until each host has the version.
    core::duration spread(std::uint64_t version)
    {
        const core::time_point begin = now_;
        while (!have_all(version) && now_ - begin < std::chrono::seconds(60))
            run(step);
        return now_ - begin;
    }

    [[nodiscard]] std::size_t most_received() const
    {
        std::size_t most = 0;
        for (std::size_t at = 0; at < hosts; ++at) {
            if (at % hosts_a_cell != 0)
                most = std::max(most, hosts_[at].received_bytes);
        }
        return most;
    }

    void forget_received()
    {
        for (host& each : hosts_)
            each.received_bytes = 0;
    }

private:
    [[nodiscard]] bool have_all(std::uint64_t version) const
    {
        return std::all_of(
            hosts_.begin(), hosts_.end(), [version](const host& each) {
                return each.version >= version;
            });
    }

    // Those of the own cell, and the counterpart in each other one.
    [[nodiscard]] static bool are_linked(std::size_t one, std::size_t other)
    {
        return one != other && (one / hosts_a_cell == other / hosts_a_cell ||
                                one % hosts_a_cell == other % hosts_a_cell);
    }

    [[nodiscard]] static std::size_t number_of(const core::host_name& name)
    {
        return std::stoul(name.value().substr(1));
    }

    void take(std::size_t at, std::uint64_t version)
    {
        host& taker = hosts_[at];
        if (version <= taker.version)
            return;
        taker.version = version;
        taker.fetches.set_own_version(version);
        const core::host_name name("h" + std::to_string(at));
        for (std::size_t other = 0; other < hosts; ++other) {
            if (!are_linked(at, other))
                continue;
            hosts_[other].received_bytes += word_bytes;
            hosts_[other].fetches.record_version(name, version, now_);
        }
    }

    void ask(std::size_t at)
    {
        const auto question = hosts_[at].fetches.next(now_);
        if (!question)
            return;
        const std::size_t asked = number_of(question->neighbour);
        auto link = std::make_shared<narrow_link>();
        link->to = at;
        hosts_[asked].requests.add(link, hosts_[at].version, now_);
    }

    // One answer after the other, as far as the link goes in a step.
    void send(std::size_t at)
    {
        host& sender = hosts_[at];
        sender.requests.serve(
            now_, [&sender](narrow_link& link, std::uint64_t known) {
                link.version = sender.version;
                link.bytes = known == 0
                                 ? whole_bytes
                                 : (sender.version - known) * change_bytes;
                sender.sending.push_back(link.shared_from_this());
            });
        std::size_t left = link_bytes_a_step;
        while (left > 0 && !sender.sending.empty()) {
            const auto link = sender.sending.front();
            const std::size_t sent = std::min(left, link->bytes);
            left -= sent;
            link->bytes -= sent;
            hosts_[link->to].received_bytes += sent;
            if (link->bytes > 0)
                return;
            sender.sending.erase(sender.sending.begin());
            answer(at, *link);
        }
    }

    void answer(std::size_t from, const narrow_link& link)
    {
        take(link.to, link.version);
        hosts_[link.to].fetches.record_response(
            core::host_name("h" + std::to_string(from)), now_);
    }

    std::vector<host> hosts_;
    core::time_point now_{std::chrono::seconds(100)};
};

class table_fleet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(table_fleet_test);
    CPPUNIT_TEST(test_a_small_change_is_everywhere_in_half_a_second);
    CPPUNIT_TEST(test_a_burst_of_versions);
    CPPUNIT_TEST(test_a_fleet_without_a_table_gets_it_in_time);
    CPPUNIT_TEST_SUITE_END();

    static constexpr core::duration aim = std::chrono::milliseconds(500);
    static constexpr core::duration bound = std::chrono::seconds(4);
    static constexpr std::size_t most_bytes_a_change = 4000;

    fleet tested_;

    void begin()
    {
        tested_.publish(1);
        tested_.spread(1);
        tested_.run(std::chrono::seconds(5));
        tested_.forget_received();
    }

    void test_a_small_change_is_everywhere_in_half_a_second()
    {
        begin();
        tested_.publish(2);
        CPPUNIT_ASSERT(tested_.spread(2) <= aim);
        CPPUNIT_ASSERT(tested_.most_received() <= most_bytes_a_change);
    }

    void test_a_burst_of_versions()
    {
        constexpr std::uint64_t last = 12;
        begin();
        for (std::uint64_t version = 2; version <= last; ++version) {
            tested_.publish(version);
            tested_.run(std::chrono::milliseconds(130));
        }
        CPPUNIT_ASSERT(tested_.spread(last) <= aim);
        CPPUNIT_ASSERT(
            tested_.most_received() <= (last - 1) * most_bytes_a_change);
    }

    // As after all of them lost power while the source turns most away.
    void test_a_fleet_without_a_table_gets_it_in_time()
    {
        tested_.publish(1);
        CPPUNIT_ASSERT(tested_.spread(1) <= bound);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_fleet_test);

} // namespace
