// A server is asked for its report again only when the last question has
// ended. One that ended by an exception was asked about for ever: its server
// was never asked again, and the end that it announces costs its streams.

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

int questions = 0;

http::request broken_question()
{
    ++questions;
    throw std::runtime_error("a fault of the codec");
}

struct quiet_stream : running_stream
{
    void on_server_draining() override {}

    void on_server_restarted() override {}

    [[nodiscard]] core::duration idle_time(core::time_point) const override
    {
        return {};
    }
};

class report_poller_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(report_poller_test);
    CPPUNIT_TEST(test_a_question_that_fails_is_asked_again);
    CPPUNIT_TEST_SUITE_END();

    void test_a_question_that_fails_is_asked_again()
    {
        const placement::server_id id("i-1");
        boost::asio::io_context io{1};
        codec_functions words{};
        words.write_report_request = &broken_question;
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
            words);
        context.directory.listed(
            placement::backend_server{
                id, core::service_name("lm"), any_port(), {}},
            core::monotonic_now());
        quiet_stream stream;
        context.streams.add(id, stream);
        report_poller poller(context, [](const auto&) {});
        for (int rounds = 0; rounds < 3; ++rounds) {
            poller.poll_servers_in_use();
            io.restart();
            io.run();
        }
        CPPUNIT_ASSERT_EQUAL(3, questions);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(report_poller_test);

} // namespace
