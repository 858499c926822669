// Guards against changes of servers that every host sends to all of its
// neighbours, and against hosts that receive none.

#include <godwit/entry/change_audience.hpp>
#include <godwit/entry/host_cell.hpp>
#include <godwit/entry/neighbour_selection.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace godwit;
using namespace godwit::entry;

/// The hosts of a fleet and the links between them.
class simulated_links
{
public:
    simulated_links(int zones, int hosts_per_zone)
    {
        std::vector<known_host> hosts;
        for (int zone = 0; zone < zones; ++zone) {
            for (int number = 0; number < hosts_per_zone; ++number) {
                const std::string name =
                    "h" + std::to_string(zone) + "-" + std::to_string(number);
                hosts.push_back(
                    {core::host_name(name),
                     http::endpoint::parse(
                         "10.0." + std::to_string(zone) + "." +
                         std::to_string(number + 1) + ":80")
                         .value(),
                     core::zone_name(std::to_string(zone))});
            }
        }
        const auto cells = divide_into_cells(hosts);
        for (std::size_t cell = 0; cell < cells.size(); ++cell) {
            for (const known_host& host : cells[cell].members)
                cell_of_[host.name] = cell;
        }
        for (const known_host& host : hosts) {
            for (const known_host& other :
                 select_neighbours(cells, host.name)) {
                neighbours_[host.name].insert(other.name);
                neighbours_[other.name].insert(host.name);
            }
        }
    }

    [[nodiscard]] std::size_t size() const { return cell_of_.size(); }

    /// Returns the number of messages by which a change reaches the hosts, and
    /// adds these hosts to `reached`.
    std::size_t spread(
        const core::host_name& reader, std::set<core::host_name>& reached) const
    {
        std::size_t messages = 0;
        std::deque<std::pair<core::host_name, change_origin>> informed{
            {reader, change_origin::own}};
        reached.insert(reader);
        while (!informed.empty()) {
            const auto [host, origin] = informed.front();
            informed.pop_front();
            const auto recipients = change_audience(
                origin,
                origin == change_origin::own ? reader_role::primary
                                             : reader_role::none);
            if (!recipients)
                continue;
            for (const core::host_name& other : neighbours_.at(host)) {
                const bool is_peer = cell_of_.at(other) == cell_of_.at(host);
                if (*recipients == audience::served_hosts && !is_peer)
                    continue;
                ++messages;
                if (reached.insert(other).second)
                    informed.emplace_back(
                        other,
                        is_peer ? change_origin::own_cell
                                : change_origin::other_cell);
            }
        }
        return messages;
    }

private:
    std::map<core::host_name, std::size_t> cell_of_;
    std::map<core::host_name, std::set<core::host_name>> neighbours_;
};

class change_audience_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(change_audience_test);
    CPPUNIT_TEST(test_a_change_reaches_every_host_in_few_messages);
    CPPUNIT_TEST(test_a_reader_of_a_cell_reaches_its_cell);
    CPPUNIT_TEST_SUITE_END();

    void test_a_change_reaches_every_host_in_few_messages()
    {
        for (const int hosts_per_zone : {2, 20, 60, 200}) {
            const simulated_links fleet(5, hosts_per_zone);
            std::set<core::host_name> reached;
            const std::size_t messages =
                fleet.spread(core::host_name("h0-0"), reached);
            CPPUNIT_ASSERT_EQUAL(fleet.size(), reached.size());
            // Each cell is reached over two links where there are backups.
            CPPUNIT_ASSERT(messages < 3 * fleet.size());
        }
    }

    void test_a_reader_of_a_cell_reaches_its_cell()
    {
        CPPUNIT_ASSERT(
            change_audience(change_origin::own, reader_role::reader) ==
            audience::served_hosts);
        CPPUNIT_ASSERT(
            !change_audience(change_origin::own_cell, reader_role::none));
        // A peer of the cell does not send to hosts that it does not know yet.
        CPPUNIT_ASSERT(
            change_audience(change_origin::own_cell, reader_role::reader) ==
            audience::settling_hosts);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(change_audience_test);

} // namespace
