// A server is polled again only after its last poll has ended. Guards against a
// poll that ends with an exception and stays pending for ever: its server is
// never polled again, and its streams are lost when it announces its end.

#include <godwit/entry/report_poller.hpp>

#include <boost/asio/io_context.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <stdexcept>

namespace {

using namespace godwit;
using namespace godwit::entry;

http::endpoint any_port()
{
    return http::endpoint::parse("127.0.0.1:0").value();
}

int polls = 0;

http::request failing_request(const placement::server_id& /*server*/)
{
    ++polls;
    throw std::runtime_error("a fault of the codec");
}

struct idle_stream : running_stream
{
    void on_server_draining() override {}

    void on_routes_changed() override {}

    void on_server_restarted() override {}

    [[nodiscard]] core::duration idle_time(core::time_point) const override
    {
        return {};
    }

    [[nodiscard]] const routed_call* sustained_call() const override
    {
        return nullptr;
    }
};

class report_poller_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(report_poller_test);
    CPPUNIT_TEST(test_a_server_is_polled_again_after_a_failed_poll);
    CPPUNIT_TEST_SUITE_END();

    void test_a_server_is_polled_again_after_a_failed_poll()
    {
        const placement::server_id id("i-1");
        boost::asio::io_context io{1};
        codec_functions codec{};
        codec.write_report_request = &failing_request;
        entry_context context(
            io.get_executor(),
            entry_settings{
                .host = core::host_name("h1"),
                .zone = core::zone_name("east"),
                .callers = any_port(),
                .readiness = any_port(),
                .operators = any_port(),
                .neighbours = any_port(),
                .seeds = {}},
            codec);
        context.directory.update(
            placement::backend_server{
                id, core::service_name("lm"), any_port(), {}},
            core::monotonic_now());
        idle_stream stream;
        context.streams.add(id, stream);
        report_poller poller(context, [](const auto&) {});
        for (int rounds = 0; rounds < 3; ++rounds) {
            poller.poll_servers_in_use();
            io.restart();
            io.run();
        }
        CPPUNIT_ASSERT_EQUAL(3, polls);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(report_poller_test);

} // namespace
