#include <godwit/entry/neighbour_links.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace godwit;
using namespace godwit::entry;
namespace asio = boost::asio;

http::endpoint free_port()
{
    asio::io_context context;
    asio::ip::tcp::acceptor listener(
        context, {asio::ip::make_address("127.0.0.1"), 0});
    return http::endpoint::parse("127.0.0.1:0")
        .value()
        .with_port(listener.local_endpoint().port());
}

entry_settings settings_of(const std::string& host)
{
    return entry_settings{
        .host = core::host_name(host),
        .zone = core::zone_name("east"),
        .callers = free_port(),
        .readiness = free_port(),
        .operators = free_port(),
        .neighbours = free_port(),
        .seeds = {}};
}

/// An entry host's links on their own, on a context that the test drives.
struct host
{
    explicit host(const std::string& name, std::vector<http::endpoint> seeds)
        : settings(settings_of(name))
    {
        settings.seeds = std::move(seeds);
        links = neighbour_links::create(
                    context.get_executor(),
                    settings,
                    neighbour_handlers{
                        [](const wire::hello&) {
                            return std::vector<wire::message>();
                        },
                        [this](const auto&, const wire::message&) {
                            ++received;
                        }})
                    .value();
        links->start();
    }

    asio::io_context context{1};
    entry_settings settings;
    std::unique_ptr<neighbour_links> links;
    int received = 0;
};

class neighbour_links_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(neighbour_links_test);
    CPPUNIT_TEST(test_a_neighbour_that_does_not_read_loses_only_its_own_link);
    CPPUNIT_TEST_SUITE_END();

    // A frozen or cut-off neighbour reads nothing; its link closes while the
    // host is broadcasting to all of them.
    void test_a_neighbour_that_does_not_read_loses_only_its_own_link()
    {
        host sender("a", {});
        std::vector<std::unique_ptr<host>> others;
        for (const char* name : {"b", "c", "d", "e"})
            others.push_back(std::make_unique<host>(
                name, std::vector<http::endpoint>{sender.settings.neighbours}));
        const auto end =
            std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (sender.links->open_links() < others.size()) {
            CPPUNIT_ASSERT(std::chrono::steady_clock::now() < end);
            sender.context.poll();
            for (const auto& other : others)
                other->context.poll();
        }
        // Only the last one keeps reading.
        const wire::message large =
            wire::table_document{1, std::string(500'000, 'x')};
        for (int count = 0; count < 40; ++count) {
            sender.links->broadcast(large);
            sender.context.poll();
            for (int turn = 0; turn < 50; ++turn) {
                others.back()->context.poll();
                sender.context.poll();
            }
        }
        CPPUNIT_ASSERT(sender.links->open_links() >= 1);
        CPPUNIT_ASSERT(sender.links->open_links() < others.size());
        CPPUNIT_ASSERT(others.back()->received > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(neighbour_links_test);

} // namespace
