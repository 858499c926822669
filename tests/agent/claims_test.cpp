#include "fleet.hpp"

#include <godwit/claims/claim_key.hpp>
#include <godwit/claims/request_fingerprint.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace godwit;
using agent::fleet;
using agent::test_proxy;

namespace {

class claims_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(claims_test);
    CPPUNIT_TEST(test_one_of_two_hosts_wins);
    CPPUNIT_TEST(test_release_lets_another_claim);
    CPPUNIT_TEST(test_lost_answer_of_the_log);
    CPPUNIT_TEST(test_log_outage_is_unavailable);
    CPPUNIT_TEST(test_one_agent_appends_for_the_zone);
    CPPUNIT_TEST(test_bad_key_closes_the_link);
    CPPUNIT_TEST_SUITE_END();

    static wire::claim_request
    ask(std::uint64_t number, const std::string& key, const std::string& proxy)
    {
        return {
            number,
            claims::claim_key::create(
                core::organisation_name("krajevnik"),
                core::idempotency_key(key))
                .value()
                .to_string(),
            claims::request_fingerprint::of("POST", "/ledger", "entry")
                .to_string(),
            {core::host_name(proxy),
             core::incarnation_id(proxy + ".1"),
             "127.0.0.1:1"}};
    }

    static void start(
        fleet& agents,
        std::vector<std::unique_ptr<test_proxy>>& proxies,
        const std::vector<std::string>& zones)
    {
        for (std::size_t index = 0; index < zones.size(); ++index) {
            agents.add_agent(zones.at(index));
            proxies.push_back(
                agents.add_proxy(index, catalogue::state::empty()));
        }
        agents.wait_until([&] {
            for (std::size_t index = 0; index < zones.size(); ++index) {
                if (!agents.at(index).claimer().ready() ||
                    !proxies.at(index)->connected())
                    return false;
            }
            return true;
        });
    }

    static wire::claim_answer
    answer_of(fleet& agents, const test_proxy& proxy, std::uint64_t number)
    {
        wire::claim_answer found;
        agents.wait_until([&] {
            for (const wire::claim_answer& answer : proxy.answers) {
                if (answer.ask == number) {
                    found = answer;
                    return true;
                }
            }
            return false;
        });
        return found;
    }

    void test_one_of_two_hosts_wins()
    {
        fleet agents;
        std::vector<std::unique_ptr<test_proxy>> proxies;
        start(agents, proxies, {"vic", "moste"});
        for (std::uint64_t number = 1; number <= 20; ++number) {
            const std::string key = "key-" + std::to_string(number);
            proxies.at(0)->send(ask(number, key, "host-0"));
            proxies.at(1)->send(ask(number, key, "host-1"));
        }
        for (std::uint64_t number = 1; number <= 20; ++number) {
            const auto first = answer_of(agents, *proxies.at(0), number);
            const auto second = answer_of(agents, *proxies.at(1), number);
            const bool first_won = first.verdict == wire::claim_verdict::won;
            const auto& loser = first_won ? second : first;
            CPPUNIT_ASSERT(
                first_won != (second.verdict == wire::claim_verdict::won));
            CPPUNIT_ASSERT(loser.verdict == wire::claim_verdict::held);
            CPPUNIT_ASSERT_EQUAL(
                core::host_name(first_won ? "host-0" : "host-1"),
                loser.holder.host);
        }
    }

    void test_release_lets_another_claim()
    {
        fleet agents;
        std::vector<std::unique_ptr<test_proxy>> proxies;
        start(agents, proxies, {"vic", "moste"});
        proxies.at(0)->send(ask(1, "key", "host-0"));
        const auto won = answer_of(agents, *proxies.at(0), 1);
        CPPUNIT_ASSERT(won.verdict == wire::claim_verdict::won);
        CPPUNIT_ASSERT(
            won.start_before_us >
            core::monotonic_now().time_since_epoch().count());
        const std::string key = ask(1, "key", "host-0").key;
        proxies.at(0)->send(wire::claim_release{key, won.offset, won.index});
        const auto released = claims::claim_key::parse(key).value();
        agents.wait_until([&] {
            return !agents.at(1).claimer().claims().holder_of(released);
        });
        proxies.at(1)->send(ask(2, "key", "host-1"));
        CPPUNIT_ASSERT(
            answer_of(agents, *proxies.at(1), 2).verdict ==
            wire::claim_verdict::won);
    }

    void test_lost_answer_of_the_log()
    {
        fleet agents;
        std::vector<std::unique_ptr<test_proxy>> proxies;
        start(agents, proxies, {"vic"});
        agents.set_faults(R"({"lose_answers":1})");
        proxies.at(0)->send(ask(1, "key", "host-0"));
        CPPUNIT_ASSERT(
            answer_of(agents, *proxies.at(0), 1).verdict ==
            wire::claim_verdict::won);
    }

    void test_log_outage_is_unavailable()
    {
        fleet agents;
        std::vector<std::unique_ptr<test_proxy>> proxies;
        start(agents, proxies, {"vic"});
        agents.set_faults(R"({"outage":true})");
        proxies.at(0)->send(ask(1, "key", "host-0"));
        const auto answer = answer_of(agents, *proxies.at(0), 1);
        CPPUNIT_ASSERT(answer.verdict == wire::claim_verdict::unavailable);
        CPPUNIT_ASSERT(answer.retry_after_ms > 0);
    }

    void test_one_agent_appends_for_the_zone()
    {
        fleet agents;
        std::vector<std::unique_ptr<test_proxy>> proxies;
        start(agents, proxies, {"vic", "vic", "vic"});
        // Until the link to the batching agent is open each appends itself.
        std::uint64_t number = 0;
        const auto forwarded = [&] {
            std::uint64_t sum = 0;
            for (std::size_t index = 0; index < 3; ++index)
                sum += agents.at(index).claimer().counts().entries_forwarded;
            return sum;
        };
        while (forwarded() < 10) {
            ++number;
            for (std::size_t index = 0; index < 3; ++index) {
                const std::string host = "host-" + std::to_string(index);
                proxies.at(index)->send(
                    ask(number, host + std::to_string(number), host));
            }
            for (std::size_t index = 0; index < 3; ++index)
                CPPUNIT_ASSERT(
                    answer_of(agents, *proxies.at(index), number).verdict ==
                    wire::claim_verdict::won);
            CPPUNIT_ASSERT(number < 1000);
        }
    }

    void test_bad_key_closes_the_link()
    {
        fleet agents;
        std::vector<std::unique_ptr<test_proxy>> proxies;
        start(agents, proxies, {"vic"});
        wire::claim_request bad = ask(1, "key", "host-0");
        bad.key = "no key";
        proxies.at(0)->send(bad);
        agents.wait_until([&] { return proxies.at(0)->closed > 0; });
        // The proxy connects again and is served.
        agents.wait_until([&] { return proxies.at(0)->connected(); });
        proxies.at(0)->send(ask(2, "key", "host-0"));
        CPPUNIT_ASSERT(
            answer_of(agents, *proxies.at(0), 2).verdict ==
            wire::claim_verdict::won);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claims_test);

} // namespace
