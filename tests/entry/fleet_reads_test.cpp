// Plays versions of the route table in fleets whose hosts rely on each other's
// reads. Guards against reads that grow with the number of hosts, and against
// hosts that miss a version because they rely on a host that does not read.

#include <godwit/core/random.hpp>
#include <godwit/dissemination/relayed_sources.hpp>
#include <godwit/entry/table_fetch_scheduler.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace godwit;
using namespace godwit::dissemination;
using entry::table_fetch_scheduler;

/// Which hosts do nothing, or cannot read the source, at a time in
/// milliseconds.
struct faults
{
    std::function<bool(std::size_t host, int now_ms)> is_frozen =
        [](std::size_t, int) {
            return false;
        };
    std::function<bool(std::size_t host, int now_ms)> is_refused =
        [](std::size_t, int) {
            return false;
        };
    /// Whether the links between the cells are down.
    bool are_cells_cut = false;
};

struct outcome
{
    std::size_t most_reads = 0; ///< Of one version, by all hosts.
    int slowest_ms = 0; ///< Until each host that is not frozen had a version.
};

class simulated_fleet
{
public:
    static constexpr std::size_t cell_hosts = 32;
    static constexpr int step_ms = 50;
    static constexpr int version_interval_ms = 6000;

    simulated_fleet(std::size_t hosts, faults chosen)
        : faults_(std::move(chosen)),
          cells_((hosts + cell_hosts - 1) / cell_hosts)
    {
        for (std::size_t number = 0; number < hosts; ++number)
            hosts_.emplace_back(name_of(number));
        for (std::size_t number = 0; number < hosts; ++number) {
            const std::size_t first = number / cell_hosts * cell_hosts;
            for (std::size_t peer = first;
                 peer < std::min(first + cell_hosts, hosts);
                 ++peer) {
                if (peer != number)
                    hosts_[number].peers.insert(name_of(peer));
            }
        }
    }

    outcome play(int versions)
    {
        outcome seen;
        // The hosts have started and know who reads.
        for (now_ms_ = 0; now_ms_ < 4000; now_ms_ += step_ms)
            step();
        for (int count = 0; count < versions; ++count) {
            ++version_;
            reads_ = 0;
            int in_force_ms = 0;
            const int began_ms = now_ms_;
            for (; now_ms_ < began_ms + version_interval_ms;
                 now_ms_ += step_ms) {
                step();
                if (!is_in_force())
                    in_force_ms = now_ms_ + step_ms - began_ms;
            }
            seen.most_reads = std::max(seen.most_reads, reads_);
            seen.slowest_ms = std::max(seen.slowest_ms, in_force_ms);
        }
        return seen;
    }

private:
    struct host
    {
        explicit host(const core::host_name& name) : fetches(name) {}

        relayed_sources sources;
        table_fetch_scheduler fetches;
        std::set<core::host_name> peers; ///< Of its cell.
        std::uint64_t version = 0;
        int reported_ms = -1000;
        bool reads = false;
    };

    // Names are ordered as numbers are.
    static core::host_name name_of(std::size_t number)
    {
        std::string digits = std::to_string(number);
        return core::host_name(std::string(6 - digits.size(), '0') + digits);
    }

    [[nodiscard]] core::time_point now() const
    {
        return core::time_point(std::chrono::milliseconds(1000 + now_ms_));
    }

    [[nodiscard]] bool is_frozen(std::size_t number) const
    {
        return faults_.is_frozen(number, now_ms_);
    }

    [[nodiscard]] bool are_linked(std::size_t one, std::size_t other) const
    {
        const bool is_same_cell = one / cell_hosts == other / cell_hosts;
        const bool is_counterpart = one % cell_hosts == other % cell_hosts;
        return one != other && !is_frozen(one) && !is_frozen(other) &&
               (is_same_cell || (is_counterpart && !faults_.are_cells_cut));
    }

    void for_each_linked(
        std::size_t number, const std::function<void(std::size_t)>& visit)
    {
        const std::size_t first = number / cell_hosts * cell_hosts;
        const std::size_t end = std::min(first + cell_hosts, hosts_.size());
        for (std::size_t peer = first; peer < end; ++peer) {
            if (are_linked(number, peer))
                visit(peer);
        }
        for (std::size_t other = number % cell_hosts; other < hosts_.size();
             other += cell_hosts) {
            if (other / cell_hosts != number / cell_hosts &&
                are_linked(number, other))
                visit(other);
        }
    }

    [[nodiscard]] bool is_in_force() const
    {
        for (std::size_t number = 0; number < hosts_.size(); ++number) {
            if (!is_frozen(number) && hosts_[number].version < version_)
                return false;
        }
        return true;
    }

    void step()
    {
        for (std::size_t number = 0; number < hosts_.size(); ++number) {
            if (is_frozen(number))
                continue;
            read(number);
            report(number);
            fetch(number);
        }
    }

    void read(std::size_t number)
    {
        host& self = hosts_[number];
        const std::size_t rank = number % cell_hosts;
        const std::size_t readers = permanent_readers_of(cells_);
        self.reads =
            rank < readers || self.fetches.is_overdue(now()) ||
            !self.sources.may_rely_on(
                source_topic::tables, self.peers, rank - readers + 1, now());
        if (!self.reads)
            return;
        if (faults_.is_refused(number, now_ms_)) {
            self.sources.record_loss(source_topic::tables);
            self.reads = false;
            return;
        }
        self.sources.record_own_read(
            source_topic::tables, {1, version_}, now());
        if (self.version >= version_)
            return;
        ++reads_;
        activate(number, version_);
    }

    void activate(std::size_t number, std::uint64_t version)
    {
        host& self = hosts_[number];
        self.version = version;
        self.fetches.set_own_version(version, now());
        for_each_linked(number, [&](std::size_t other) {
            hosts_[other].fetches.record_version(
                name_of(number), version, now());
        });
    }

    void report(std::size_t number)
    {
        host& self = hosts_[number];
        if (!self.reads || now_ms_ - self.reported_ms < 1000)
            return;
        self.reported_ms = now_ms_;
        const auto sent = self.sources.own_report({self.version, 0}, now());
        for_each_linked(number, [&](std::size_t other) {
            hosts_[other].sources.record_report(
                name_of(number), sent, {hosts_[other].version, 0}, now());
        });
    }

    void fetch(std::size_t number)
    {
        const auto request = hosts_[number].fetches.next(now());
        if (!request)
            return;
        const std::size_t source = std::stoul(request->neighbour.value());
        if (!are_linked(number, source))
            return;
        if (hosts_[source].version > hosts_[number].version)
            activate(number, hosts_[source].version);
    }

    faults faults_;
    std::size_t cells_;
    std::vector<host> hosts_;
    std::uint64_t version_ = 0;
    std::size_t reads_ = 0;
    int now_ms_ = 0;
};

class fleet_reads_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_reads_test);
    CPPUNIT_TEST(test_reads_of_a_version_do_not_grow_with_the_hosts);
    CPPUNIT_TEST(test_a_version_is_in_force_although_readers_freeze);
    CPPUNIT_TEST(test_a_version_is_in_force_although_readers_are_refused);
    CPPUNIT_TEST(test_a_cell_that_is_cut_off_reads_for_itself);
    CPPUNIT_TEST_SUITE_END();

    /// The bound of the smallest and of the largest deployments.
    static constexpr int in_force_bound_ms = 2000;

    static std::size_t cells_of(std::size_t hosts)
    {
        return (hosts + simulated_fleet::cell_hosts - 1) /
               simulated_fleet::cell_hosts;
    }

    void test_reads_of_a_version_do_not_grow_with_the_hosts()
    {
        for (const std::size_t hosts : {23U, 100U, 300U, 1000U, 2000U}) {
            simulated_fleet fleet(hosts, {});
            const outcome seen = fleet.play(3);
            CPPUNIT_ASSERT(
                seen.most_reads <=
                std::max(permanent_readers, cells_of(hosts)));
            CPPUNIT_ASSERT(seen.slowest_ms <= in_force_bound_ms);
        }
    }

    // All permanent readers stop at the moment at which a version is published.
    void test_a_version_is_in_force_although_readers_freeze()
    {
        for (const std::size_t hosts : {100U, 300U, 1000U}) {
            const std::size_t readers = permanent_readers_of(cells_of(hosts));
            faults chosen;
            chosen.is_frozen = [readers](std::size_t host, int now_ms) {
                return host % simulated_fleet::cell_hosts < readers &&
                       now_ms >= 4000;
            };
            simulated_fleet fleet(hosts, chosen);
            const outcome seen = fleet.play(2);
            CPPUNIT_ASSERT(seen.slowest_ms <= 5000);
        }
    }

    void test_a_version_is_in_force_although_readers_are_refused()
    {
        for (const std::size_t hosts : {23U, 100U, 300U, 1000U}) {
            faults chosen;
            chosen.is_refused = [](std::size_t host, int now_ms) {
                const bool is_chosen =
                    core::random(host * 31 + 7).unit() < 0.35;
                return is_chosen && now_ms >= 4000;
            };
            simulated_fleet fleet(hosts, chosen);
            const outcome seen = fleet.play(3);
            CPPUNIT_ASSERT(seen.slowest_ms <= in_force_bound_ms);
            CPPUNIT_ASSERT(seen.most_reads <= 8 * cells_of(hosts));
        }
    }

    void test_a_cell_that_is_cut_off_reads_for_itself()
    {
        for (const std::size_t hosts : {100U, 1000U}) {
            faults chosen;
            chosen.are_cells_cut = true;
            simulated_fleet fleet(hosts, chosen);
            const outcome seen = fleet.play(2);
            CPPUNIT_ASSERT(seen.slowest_ms <= in_force_bound_ms);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_reads_test);

} // namespace
