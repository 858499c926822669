#include "fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace godwit;
using namespace godwit::claims;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t host_count = 6;
constexpr std::size_t key_count = 12;

/// Draws one fault and when it ends.
void add_fault(fleet& hosts, core::random& random)
{
    const auto host = random.below(host_count);
    const auto length = milliseconds(1 + random.below(12'000));
    switch (random.below(9)) {
    case 0:
        hosts.pause(host, length);
        break;
    case 1:
        hosts.kill(host);
        hosts.after(length, [&hosts, host] { hosts.replace(host); });
        break;
    case 2:
        hosts.restart_agent(host);
        break;
    case 3:
        hosts.outage = true;
        hosts.after(length, [&hosts] { hosts.outage = false; });
        break;
    case 4:
        hosts.lose_answers += 3;
        break;
    case 5:
        hosts.lose_appends += 3;
        break;
    case 6:
        hosts.cut_log(host, true);
        hosts.after(length, [&hosts, host] { hosts.cut_log(host, false); });
        break;
    case 7:
        hosts.append_time = milliseconds(1 + random.below(2500));
        hosts.after(length, [&hosts] { hosts.append_time = milliseconds(10); });
        break;
    default:
        hosts.proxies_decline = true;
        hosts.cut_peers(true);
        hosts.after(length, [&hosts] {
            hosts.proxies_decline = false;
            hosts.cut_peers(false);
        });
    }
}

/// Random callers, hosts and faults: at most one run a key, `not_run` true,
/// and after the faults every key is settled.
class claimer_property_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(claimer_property_test);
    CPPUNIT_TEST(test_at_most_one_run_under_random_faults);
    CPPUNIT_TEST_SUITE_END();

    void run_story(std::uint64_t seed)
    {
        core::random random(seed);
        fleet_options options;
        options.seed = seed;
        options.claimer.ledger.retention = seconds(300);
        options.claimer.ledger.margin = seconds(60);
        options.claimer.writer = random.below(4) == 0
                                     ? batch_writer::each_host
                                     : batch_writer::one_per_zone;
        options.claimer.key_ranges = 1 + random.below(3);
        options.start_delay = milliseconds(random.below(200));
        fleet hosts(options);
        for (int step = 0; step < 120; ++step) {
            hosts.run_for(milliseconds(random.below(300)));
            if (random.below(6) == 0)
                add_fault(hosts, random);
            hosts.submit(random.below(host_count), random.below(key_count));
            if (random.below(3) == 0)
                hosts.submit(
                    random.below(host_count), hosts.tries().back().key);
        }
        hosts.run_for(seconds(40));
        hosts.lose_answers = 0;
        hosts.lose_appends = 0;
        hosts.check_promises();
        for (std::size_t key = 0; key < key_count; ++key) {
            auto last = hosts.submit(random.below(host_count), key);
            hosts.run_for(seconds(4));
            if (hosts.heal(last)) {
                hosts.run_for(seconds(4));
                last = hosts.submit(random.below(host_count), key);
                hosts.run_for(seconds(4));
            }
            const auto& tried = hosts.answer(last);
            CPPUNIT_ASSERT_MESSAGE("no answer", tried.answer);
            CPPUNIT_ASSERT_MESSAGE(
                "unavailable without a fault",
                !std::holds_alternative<claim_unavailable>(*tried.answer));
            const auto found = hosts.ask_holder(last);
            CPPUNIT_ASSERT_MESSAGE(
                "held by a live proxy that never ran it",
                !found || !std::holds_alternative<run_not_started>(*found));
        }
        hosts.check_promises();
    }

    void test_at_most_one_run_under_random_faults()
    {
        constexpr std::uint64_t seeds = 150;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            try {
                run_story(seed);
            } catch (const CppUnit::Exception& failure) {
                CPPUNIT_FAIL(
                    "seed " + std::to_string(seed) + ": " + failure.what());
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claimer_property_test);

} // namespace
