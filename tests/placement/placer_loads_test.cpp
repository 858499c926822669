// Guards against sending requests to the slower of two servers that state their
// load, in virtual time with the real placer and ledger.

#include "samples.hpp"

#include <godwit/placement/placer.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace {

using namespace godwit::placement;
using namespace godwit::placement::test;
using godwit::core::service_name;
using godwit::core::zone_name;

// What a server states at a time, and the factor by which work takes longer
// there.
struct server_model
{
    std::function<double(int)> factor;
    std::uint32_t others_running = 0;
    std::uint32_t others_waiting = 0;
    bool states_load = true;
};

/// Two plain servers and callers that each send one request after the other,
/// with a pause between them.
class replay
{
public:
    replay(std::uint64_t seed, int work_ms)
        : work_ms_(work_ms), placer_(
                                 directory_,
                                 ledger_,
                                 health_,
                                 slow_servers_,
                                 limits_,
                                 cold_servers_,
                                 evacuations_,
                                 seed,
                                 &loads_)
    {
        service_.name = service_name("lm");
        for (int number = 1; number <= 2; ++number) {
            backend_server server = sample_server(number);
            server.slots = slots;
            directory_.update(server, at_ms(0));
        }
    }

    server_model& model(int number) { return models_[name_of(number)]; }

    /// Returns the share of the requests that went to the server.
    double share_at(
        const std::function<bool(const std::string&, int)>& is_counted,
        std::size_t callers,
        int pause_ms,
        int duration_ms)
    {
        std::vector<caller> all(callers);
        std::size_t sent = 0;
        std::size_t counted = 0;
        for (int now = 0; now < duration_ms; ++now) {
            for (auto& [call, next_ms] : all) {
                if (call && call->end_ms <= now) {
                    finish(*call, now);
                    call.reset();
                    next_ms = now + pause_ms;
                }
                if (call || now < next_ms)
                    continue;
                call = start(now);
                ++sent;
                counted += is_counted(call->server, now) ? 1 : 0;
            }
        }
        return static_cast<double>(counted) / static_cast<double>(sent);
    }

private:
    static constexpr std::uint32_t slots = 6;

    struct running
    {
        std::string server;
        int start_ms = 0;
        int end_ms = 0;
    };

    struct caller
    {
        std::optional<running> call;
        int next_ms = 0;
    };

    static std::string name_of(int number)
    {
        return "i-" + std::to_string(number);
    }

    running start(int now)
    {
        placement_request request;
        request.service = &service_;
        request.work.requests = 1;
        request.preferred_zone = zone_name("east");
        const auto chosen = placer_.choose(request, at_ms(now));
        const std::string server = chosen.value().server.id.value();
        ledger_.add(chosen->server.id, request.work);
        const server_model& model = models_.at(server);
        // Requests that wait take turns in the slots.
        const double rounds =
            1.0 + static_cast<double>(model.others_waiting) / slots;
        const auto taken = static_cast<int>(
            work_ms_ * rounds * (model.factor ? model.factor(now) : 1.0));
        return {server, now, now + taken};
    }

    void finish(const running& call, int now)
    {
        const server_id id(call.server);
        const server_model& model = models_.at(call.server);
        const std::uint32_t known = ledger_.at(id, at_ms(now)).requests;
        ledger_.remove(id, work_size{1});
        if (!model.states_load)
            return;
        const double factor = model.factor ? model.factor(now) : 1.0;
        const auto stated = load_statement::create(
            model.others_running + known,
            model.others_waiting,
            slots,
            static_cast<std::uint64_t>(100 * factor));
        loads_.update(
            {id, {}, stated.value(), known, at_ms(call.start_ms)},
            statement_origin::own,
            at_ms(now));
    }

    int work_ms_;
    godwit::routing::service service_;
    server_directory directory_;
    load_ledger ledger_;
    server_health health_;
    slow_server_detector slow_servers_;
    server_limits limits_;
    cold_servers cold_servers_{1};
    zone_evacuations evacuations_;
    reported_loads loads_;
    placer placer_;
    std::map<std::string, server_model> models_;
};

class placer_loads_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placer_loads_test);
    CPPUNIT_TEST(test_few_requests_go_to_a_server_that_is_slower);
    CPPUNIT_TEST(test_few_requests_go_to_the_slow_one_of_two_that_swap);
    CPPUNIT_TEST(test_few_requests_go_to_a_server_full_of_others);
    CPPUNIT_TEST(test_a_server_stated_as_slow_is_tried_again);
    CPPUNIT_TEST(test_without_statements_the_choice_is_as_before);
    CPPUNIT_TEST(test_a_slow_engine_costs_its_larger_slowness_once);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int seeds = 20;
    static constexpr std::array works_ms{15, 60};
    // Without a pause, a request is always under way when the servers swap.
    static constexpr std::array pauses_ms{0, 40};
    static constexpr int duration_ms = 20'000;
    static constexpr double slow_factor = 2.5;

    // Runs each combination of seed, work, pause and number of callers; returns
    // the largest share.
    static double largest_share(
        const std::function<void(replay&)>& prepare,
        const std::function<bool(const std::string&, int)>& is_counted)
    {
        double largest = 0;
        const auto run = [&](int seed, int work_ms, int pause_ms) {
            for (const std::size_t callers : {1U, 2U}) {
                replay day(static_cast<std::uint64_t>(seed), work_ms);
                prepare(day);
                largest = std::max(
                    largest,
                    day.share_at(is_counted, callers, pause_ms, duration_ms));
            }
        };
        for (int seed = 1; seed <= seeds; ++seed) {
            for (const int work_ms : works_ms) {
                for (const int pause_ms : pauses_ms)
                    run(seed, work_ms, pause_ms);
            }
        }
        return largest;
    }

    static bool is_first(const std::string& server, int /*now*/)
    {
        return server == "i-1";
    }

    void test_few_requests_go_to_a_server_that_is_slower()
    {
        const double share = largest_share(
            [](replay& day) {
                day.model(1).factor = [](int /*now*/) {
                    return slow_factor;
                };
                day.model(2);
            },
            &is_first);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(share), share <= 0.25);
    }

    void test_few_requests_go_to_the_slow_one_of_two_that_swap()
    {
        constexpr int swap_ms = 600;
        const auto is_first_slow = [](int now) {
            return now / swap_ms % 2 == 0;
        };
        const double share = largest_share(
            [&is_first_slow](replay& day) {
                day.model(1).factor = [&is_first_slow](int now) {
                    return is_first_slow(now) ? slow_factor : 1.0;
                };
                day.model(2).factor = [&is_first_slow](int now) {
                    return is_first_slow(now) ? 1.0 : slow_factor;
                };
            },
            [&is_first_slow](const std::string& server, int now) {
                return (server == "i-1") == is_first_slow(now);
            });
        CPPUNIT_ASSERT_MESSAGE(std::to_string(share), share <= 0.36);
    }

    void test_few_requests_go_to_a_server_full_of_others()
    {
        const double share = largest_share(
            [](replay& day) {
                day.model(1).others_running = 6;
                day.model(1).others_waiting = 10;
                day.model(2);
            },
            &is_first);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(share), share < 0.25);
    }

    // Slow for the first second only. Four callers at six slots.
    void test_a_server_stated_as_slow_is_tried_again()
    {
        for (int seed = 1; seed <= seeds; ++seed) {
            replay day(static_cast<std::uint64_t>(seed), 60);
            day.model(1).factor = [](int now) {
                return now < 1000 ? slow_factor : 1.0;
            };
            day.model(2);
            const double share = day.share_at(
                [](const std::string& server, int now) {
                    return server == "i-1" && now >= 5000;
                },
                4,
                0,
                duration_ms);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(share), share >= 0.25);
        }
    }

    void test_without_statements_the_choice_is_as_before()
    {
        const service_name name("lm");
        godwit::routing::service plain;
        plain.name = name;
        server_directory directory;
        directory.update(sample_server(1), at_ms(0));
        directory.update(sample_server(2), at_ms(0));
        load_ledger ledger;
        const server_health health;
        const slow_server_detector slow_servers;
        const server_limits limits;
        const cold_servers cold{1};
        const zone_evacuations evacuations;
        const reported_loads none;
        placement_request request;
        request.service = &plain;
        request.work.requests = 1;
        request.preferred_zone = zone_name("east");
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            placer with(
                directory,
                ledger,
                health,
                slow_servers,
                limits,
                cold,
                evacuations,
                seed,
                &none);
            placer without(
                directory,
                ledger,
                health,
                slow_servers,
                limits,
                cold,
                evacuations,
                seed);
            CPPUNIT_ASSERT(
                with.choose(request, at_ms(0)) ==
                without.choose(request, at_ms(0)));
            ledger.add(server_id("i-1"), work_size{1});
        }
    }

    void test_a_slow_engine_costs_its_larger_slowness_once()
    {
        godwit::routing::service engines;
        engines.name = service_name("lm");
        engines.engine =
            godwit::routing::engine_profile{4, 10000, 1, 1, true, false};
        server_directory directory;
        directory.update(sample_server(1), at_ms(0));
        const load_ledger ledger;
        const server_health health;
        slow_server_detector slow_servers;
        const server_limits limits;
        const cold_servers cold{1};
        const zone_evacuations evacuations;
        reported_loads loads;
        placement_request request;
        request.service = &engines;
        request.work = {1, 1000, 0};
        request.preferred_zone = zone_name("east");
        placer chooser(
            directory,
            ledger,
            health,
            slow_servers,
            limits,
            cold,
            evacuations,
            1,
            &loads);
        const double usual = chooser.choose(request, at_ms(0))->cost;
        const auto state = [&loads](unsigned slowdown, int now) {
            loads.update(
                {server_id("i-1"),
                 {},
                 load_statement::create(0, 0, 4, slowdown).value(),
                 0,
                 at_ms(now)},
                statement_origin::own,
                at_ms(now));
        };
        state(250, 0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            usual + 1.5, chooser.choose(request, at_ms(0))->cost, 0.001);
        std::vector<server_gaps> gaps;
        for (int number = 1; number <= 4; ++number)
            gaps.push_back(
                {sample_server(number).id, {1, number == 1 ? 90U : 30U}});
        slow_servers.compare(gaps, at_ms(1));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            usual + 2.0, chooser.choose(request, at_ms(1))->cost, 0.001);
        state(400, 2);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            usual + 3.0, chooser.choose(request, at_ms(2))->cost, 0.001);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placer_loads_test);

} // namespace
