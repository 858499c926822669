// Guards against a response of a faulty server whose status is none of HTTP,
// and which a caller gets as the answer to its request.

#include "testbed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <string>
#include <utility>

namespace {

using namespace godwit;
using namespace godwit::platform_adapter::test;
namespace asio = boost::asio;

class invalid_status_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(invalid_status_test);
    CPPUNIT_TEST(test_no_caller_gets_a_status_that_is_none);
    CPPUNIT_TEST_SUITE_END();

    testbed testbed_;
    std::atomic<unsigned> status_ = 200;

    void test_no_caller_gets_a_status_that_is_none()
    {
        constexpr unsigned bad_gateway = 502;
        testbed_.first_server().set_handler(
            [this](http::exchange& exchange) -> asio::awaitable<void> {
                http::response response = fake_server::signed_response(
                    exchange, status_, "not an answer");
                [[maybe_unused]] const auto sent =
                    co_await exchange.respond(std::move(response));
            });
        testbed_.start_with_first_server();
        for (const unsigned status : {600U, 601U, 700U, 999U}) {
            status_ = status;
            const http::response answer = testbed_.call("POST", "/once/");
            CPPUNIT_ASSERT_EQUAL(bad_gateway, answer.status);
            CPPUNIT_ASSERT(answer.body.find("not an") == std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(invalid_status_test);

} // namespace
