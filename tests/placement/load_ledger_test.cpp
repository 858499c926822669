#include "samples.hpp"

#include <godwit/core/random.hpp>
#include <godwit/placement/load_ledger.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>
#include <vector>

namespace {

using namespace godwit::placement;
using namespace godwit::placement::test;
namespace core = godwit::core;

// The ledger keeps running totals; this reference model adds up all reports at
// each lookup.
class summing_ledger
{
public:
    void update(
        const std::string& sender,
        bool is_full,
        const std::vector<server_work>& report,
        core::time_point now)
    {
        load_report& known = reports_[sender];
        if (is_full)
            known.work.clear();
        known.received_at = now;
        for (const server_work& one : report)
            known.work[one.server] = one.work;
    }

    void forget(const std::string& sender) { reports_.erase(sender); }

    work_size at(const server_id& server, core::time_point now) const
    {
        work_size sum;
        for (const auto& [sender, report] : reports_) {
            const auto found = report.work.find(server);
            if (found != report.work.end() &&
                now - report.received_at <= load_ledger::report_lifetime)
                sum += found->second;
        }
        return sum;
    }

private:
    struct load_report
    {
        std::map<server_id, work_size> work;
        core::time_point received_at;
    };

    std::map<std::string, load_report> reports_;
};

class load_ledger_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_ledger_test);
    CPPUNIT_TEST(test_running_totals_equal_the_sum_of_all_reports);
    CPPUNIT_TEST(test_changes_apply_to_an_expired_report);
    CPPUNIT_TEST(test_requests_are_counted_here_and_elsewhere);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int servers = 12;

    static server_id server(std::uint64_t number)
    {
        return server_id("i-" + std::to_string(number));
    }

    static std::vector<server_work> random_report(core::random& random)
    {
        std::vector<server_work> report;
        for (int each = 0; each < servers; ++each) {
            if (random.below(3) != 0)
                continue;
            work_size work;
            // Empty work stands for work that has ended.
            if (random.below(4) != 0)
                work = work_size{
                    1,
                    random.below(5000),
                    random.below(3000),
                    random.below(100),
                    {1, static_cast<std::uint32_t>(random.below(200))}};
            report.push_back({server(static_cast<std::uint64_t>(each)), work});
        }
        return report;
    }

    // Reports arrive, change, expire and are removed in any order.
    void test_running_totals_equal_the_sum_of_all_reports()
    {
        core::random random(11);
        load_ledger ledger;
        summing_ledger summing;
        int now_ms = 0;
        for (int step = 0; step < 3000; ++step) {
            now_ms += static_cast<int>(random.below(400));
            const auto now = at_ms(now_ms);
            const std::uint64_t sender = random.below(6);
            const std::string name = "h-" + std::to_string(sender);
            const auto report = random_report(random);
            if (sender < 3) {
                ledger.update_from_neighbour(
                    core::host_name(name), report, now);
                summing.update(name, true, report, now);
            } else {
                const bool is_full = random.below(3) == 0;
                ledger.update_from_group(
                    host_group(name),
                    is_full ? report_extent::full : report_extent::changes,
                    report,
                    now);
                summing.update(name, is_full, report, now);
            }
            if (random.below(50) == 0) {
                ledger.retain_neighbours({core::host_name("h-1")});
                summing.forget("h-0");
                summing.forget("h-2");
            }
            // Some reports expire before the next lookup.
            if (random.below(20) == 0)
                now_ms += 3500;
            for (int each = 0; each < servers; ++each) {
                const auto id = server(static_cast<std::uint64_t>(each));
                CPPUNIT_ASSERT(
                    ledger.at(id, at_ms(now_ms)) ==
                    summing.at(id, at_ms(now_ms)));
            }
        }
    }

    void test_changes_apply_to_an_expired_report()
    {
        load_ledger ledger;
        const host_group west("west/0");
        ledger.update_from_group(
            west, report_extent::full, {{server(1), {2, 6000}}}, at_ms(0));
        CPPUNIT_ASSERT(ledger.at(server(1), at_ms(3001)) == work_size());
        ledger.update_from_group(
            west,
            report_extent::changes,
            {{server(2), {1, 3000}}},
            at_ms(3500));
        CPPUNIT_ASSERT(
            ledger.at(server(1), at_ms(3500)) == (work_size{2, 6000}));
        CPPUNIT_ASSERT(
            ledger.at(server(2), at_ms(3500)) == (work_size{1, 3000}));
    }

    void test_requests_are_counted_here_and_elsewhere()
    {
        load_ledger ledger;
        ledger.add(server_id("i-1"), {2, 100, 0});
        ledger.add(server_id("i-2"), {1, 100, 0});
        ledger.update_from_neighbour(
            core::host_name("h2"), {{server_id("i-1"), {4, 0, 0}}}, at_ms(0));
        ledger.update_from_group(
            host_group("c2"),
            report_extent::full,
            {{server_id("i-3"), {5, 0, 0}}},
            at_ms(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, ledger.own_requests());
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{9}, ledger.other_requests(at_ms(1000)));
        // The report of the neighbour has expired.
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{5}, ledger.other_requests(at_ms(3500)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_ledger_test);

} // namespace
