// The answer to HEAD says how long a body would be and has none (RFC 9110,
// section 9.3.2). The client waited for it until its time was over, and the
// server that had answered counted as unreachable: one caller's HEAD kept
// others away from it.

#include "server_harness.hpp"

#include <godwit/http/fetch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

namespace {

using namespace godwit::http;
using namespace godwit::http::test;
namespace asio = boost::asio;

class head_answer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(head_answer_test);
    CPPUNIT_TEST(test_an_answer_to_head_has_no_body);
    CPPUNIT_TEST_SUITE_END();

    void test_an_answer_to_head_has_no_body()
    {
        server_harness harness(
            {}, [](exchange& asked) -> asio::awaitable<void> {
                response answer;
                answer.body = "hello";
                [[maybe_unused]] const auto sent =
                    co_await asked.respond(std::move(answer));
            });
        asio::io_context io{1};
        auto answered = asio::co_spawn(
            io,
            fetch(
                harness.target().address(),
                request{"HEAD", "/", {}, {}},
                {.deadline = std::chrono::seconds(1)}),
            asio::use_future);
        io.run();
        const auto answer = answered.get();
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT(answer->body.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(head_answer_test);

} // namespace
