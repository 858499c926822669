// Plays rollouts of bad versions in fleets whose hosts receive each other's
// reports late. Guards against a bad version that gets more than its share of
// the requests, or requests long after it was seen to be bad.

#include <godwit/core/random.hpp>
#include <godwit/rollout/rollouts.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace godwit;
using namespace godwit::rollout;
using std::chrono::milliseconds;

const core::service_name lm("lm");
const placement::server_version target_version("v2");
const placement::server_version former_version("v1");

struct bad_version
{
    double fails = 0; ///< Share of its responses that fail.
    double slowdown = 1;
    int from_ms = 0; ///< When it becomes bad.
};

struct exposure
{
    std::uint64_t requests = 0;
    std::uint64_t in_target = 0;
    int fiftieth_bad_ms = -1;
    int last_send_ms = -1;
    bool is_rolled_back = false;
};

/// Hosts that restart together in the middle of a rollout, without what they
/// had counted.
struct restart_of_hosts
{
    double share = 0;
    int at_ms = -1;
};

/// A fleet of cells, of which each host receives the reports of its cell and
/// the sums of the others after `report_delay_ms`.
class simulated_fleet
{
public:
    static constexpr std::size_t cell_hosts = 32;
    static constexpr int step_ms = 100;
    static constexpr int report_ms = 1000;
    static constexpr int report_delay_ms = 1500;
    static constexpr int duration_ms = 40'000;
    static constexpr double permitted = 0.1;

    simulated_fleet(std::size_t hosts, std::uint64_t seed) : random_(seed)
    {
        const rollout_status order{
            {lm, target_version, milliseconds(duration_ms), {1, 1}}, at(0)};
        for (std::size_t number = 0; number < hosts; ++number) {
            hosts_.push_back(std::make_unique<rollouts>(permitted));
            hosts_.back()->set_host_count(hosts);
            hosts_.back()->update(order);
        }
        uninformed_until_ms_.resize(hosts);
    }

    exposure play(
        const bad_version& bad,
        double requests_per_second,
        const restart_of_hosts& restarts = {})
    {
        for (now_ms_ = 0; now_ms_ < duration_ms; now_ms_ += step_ms) {
            if (now_ms_ == restarts.at_ms)
                restart(restarts.share);
            serve(bad, requests_per_second);
            if (now_ms_ % report_ms == 0)
                report();
            deliver();
            if (now_ms_ % (5 * step_ms) == 0)
                judge();
        }
        return seen_;
    }

private:
    static core::time_point at(int ms)
    {
        return core::time_point(milliseconds(1'000'000 + ms));
    }

    // A host that restarts learns the state from another host, and sends
    // nothing to the target at first.
    void restart(double share)
    {
        constexpr int joining_ms = 4000;
        const rollout_status known = *hosts_.back()->find(lm);
        const auto count = static_cast<std::size_t>(
            share * static_cast<double>(hosts_.size()));
        for (std::size_t host = 0; host < count; ++host) {
            hosts_[host] = std::make_unique<rollouts>(permitted);
            hosts_[host]->set_host_count(hosts_.size());
            hosts_[host]->update(known);
            uninformed_until_ms_[host] = now_ms_ + joining_ms;
        }
    }

    void serve(const bad_version& bad, double requests_per_second)
    {
        const auto requests = static_cast<std::size_t>(
            requests_per_second * step_ms / 1000 + random_.unit());
        for (std::size_t number = 0; number < requests; ++number) {
            const std::size_t index = random_.below(hosts_.size());
            rollouts& host = *hosts_[index];
            const auto versions = host.versions_for(
                lm,
                std::to_string(random_.next()),
                now_ms_ >= uninformed_until_ms_[index],
                at(now_ms_));
            ++seen_.requests;
            respond(host, versions.only.has_value(), bad);
        }
    }

    void respond(rollouts& host, bool is_target, const bad_version& bad)
    {
        constexpr double base_failures = 0.01;
        const bool is_bad = is_target && now_ms_ >= bad.from_ms;
        const double failures = is_bad ? bad.fails : base_failures;
        response_counts one;
        one.total = 1;
        const bool has_failed = random_.unit() < failures;
        const double ms =
            (is_bad ? bad.slowdown : 1.0) * 20.0 * (1 + random_.unit());
        if (has_failed)
            one.failed = 1;
        else
            one.latencies.at(response_counts::bucket_of(
                milliseconds(static_cast<int>(ms)))) = 1;
        host.record(
            lm,
            {"r", core::zone_name("a")},
            is_target ? target_version : former_version,
            one);
        if (!is_target)
            return;
        ++seen_.in_target;
        seen_.last_send_ms = now_ms_;
        bad_responses_ += is_bad && (has_failed || bad.slowdown > 1) ? 1 : 0;
        if (bad_responses_ == 50 && seen_.fiftieth_bad_ms < 0)
            seen_.fiftieth_bad_ms = now_ms_;
    }

    /// The reports of all hosts at one moment.
    struct reports
    {
        int at_ms = 0;
        std::vector<stratified_counts> hosts;
        std::vector<stratified_counts> cells;
    };

    fleet_counts* counts_of(std::size_t host)
    {
        return hosts_[host]->counts(lm, {1, 1});
    }

    void report()
    {
        reports sent;
        sent.at_ms = now_ms_;
        for (std::size_t host = 0; host < hosts_.size(); ++host) {
            fleet_counts* counts = counts_of(host);
            sent.hosts.push_back(
                counts == nullptr ? stratified_counts() : counts->own());
            const bool is_first = host % cell_hosts == 0;
            if (is_first)
                sent.cells.push_back(
                    counts == nullptr ? stratified_counts()
                                      : counts->own_and_neighbours());
        }
        on_the_way_.push_back(std::move(sent));
    }

    void deliver()
    {
        while (!on_the_way_.empty() &&
               on_the_way_.front().at_ms + report_delay_ms <= now_ms_) {
            for (std::size_t host = 0; host < hosts_.size(); ++host)
                deliver_to(host, on_the_way_.front());
            on_the_way_.pop_front();
        }
    }

    void deliver_to(std::size_t host, const reports& sent)
    {
        fleet_counts* counts = counts_of(host);
        if (counts == nullptr)
            return;
        const std::size_t own_cell = host / cell_hosts;
        const std::size_t first = own_cell * cell_hosts;
        const std::size_t end = std::min(first + cell_hosts, hosts_.size());
        for (std::size_t peer = first; peer < end; ++peer) {
            if (peer != host)
                counts->update_from_neighbour(
                    core::host_name(std::to_string(peer)), sent.hosts[peer]);
        }
        for (std::size_t cell = 0; cell < sent.cells.size(); ++cell) {
            if (cell != own_cell)
                counts->update_from_group(
                    placement::host_group(std::to_string(cell)),
                    sent.cells[cell]);
        }
    }

    // The word that a version is bad takes less than a second to reach all.
    void judge()
    {
        constexpr int spread_ms = 1000;
        for (const auto& host : hosts_) {
            if (rolled_back_at_ms_ < 0 && !host->judge().empty())
                rolled_back_at_ms_ = now_ms_;
        }
        if (rolled_back_at_ms_ < 0 || seen_.is_rolled_back ||
            now_ms_ < rolled_back_at_ms_ + spread_ms)
            return;
        rollout_status ended{
            {lm, target_version, milliseconds(duration_ms), {1, 1}}, at(0)};
        ended.state = rollout_state::rolled_back;
        for (const auto& host : hosts_)
            host->update(ended);
        seen_.is_rolled_back = true;
    }

    core::random random_;
    std::vector<std::unique_ptr<rollouts>> hosts_;
    std::vector<int> uninformed_until_ms_; ///< By host.
    std::deque<reports> on_the_way_;
    exposure seen_;
    int now_ms_ = 0;
    int bad_responses_ = 0;
    int rolled_back_at_ms_ = -1;
};

class fleet_exposure_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_exposure_test);
    CPPUNIT_TEST(test_a_bad_version_stays_within_its_share);
    CPPUNIT_TEST(test_hosts_that_restart_do_not_extend_the_exposure);
    CPPUNIT_TEST(test_a_good_version_is_not_rolled_back);
    CPPUNIT_TEST_SUITE_END();

    void test_a_bad_version_stays_within_its_share()
    {
        constexpr std::uint64_t slack = 50;
        constexpr int rollback_ms = 5000;
        for (const std::size_t hosts : {6U, 89U, 986U}) {
            for (const bad_version& bad :
                 {bad_version{0.5, 1, 0},
                  bad_version{0.3, 1, 20'000},
                  bad_version{0.01, 4, 0},
                  bad_version{0.9, 1, 39'000}}) {
                simulated_fleet fleet(hosts, hosts + 1);
                const exposure seen = fleet.play(bad, 220);
                const auto most = static_cast<std::uint64_t>(
                                      simulated_fleet::permitted *
                                      static_cast<double>(seen.requests)) +
                                  slack;
                CPPUNIT_ASSERT(seen.in_target <= most);
                if (seen.fiftieth_bad_ms >= 0)
                    CPPUNIT_ASSERT(
                        seen.last_send_ms <=
                        seen.fiftieth_bad_ms + rollback_ms);
                if (bad.from_ms <= 20'000)
                    CPPUNIT_ASSERT(seen.is_rolled_back);
            }
        }
    }

    void test_hosts_that_restart_do_not_extend_the_exposure()
    {
        constexpr std::uint64_t slack = 50;
        constexpr int rollback_ms = 5000;
        for (const std::size_t hosts : {6U, 89U, 986U}) {
            for (const int at_ms : {500, 3000, 38'000}) {
                simulated_fleet fleet(hosts, hosts + 1);
                const exposure seen =
                    fleet.play({0.5, 1, 0}, 220, {0.55, at_ms});
                CPPUNIT_ASSERT(
                    seen.in_target <= static_cast<std::uint64_t>(
                                          simulated_fleet::permitted *
                                          static_cast<double>(seen.requests)) +
                                          slack);
                if (seen.fiftieth_bad_ms >= 0)
                    CPPUNIT_ASSERT(
                        seen.last_send_ms <=
                        seen.fiftieth_bad_ms + rollback_ms);
                CPPUNIT_ASSERT(seen.is_rolled_back);
            }
        }
    }

    void test_a_good_version_is_not_rolled_back()
    {
        for (const std::size_t hosts : {6U, 89U}) {
            for (std::uint64_t seed = 1; seed <= 10; ++seed) {
                simulated_fleet fleet(hosts, seed);
                CPPUNIT_ASSERT(
                    !fleet.play(bad_version{0.01, 1, 0}, 220).is_rolled_back);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_exposure_test);

} // namespace
