#include <godwit/entry/refusal.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using namespace godwit;
using http::rejection_reason;

class refusal_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(refusal_test);
    CPPUNIT_TEST(test_what_never_reached_a_handler_has_not_run);
    CPPUNIT_TEST(test_what_a_handler_failed_may_have_run);
    CPPUNIT_TEST_SUITE_END();

    static bool says(rejection_reason reason, const std::string& outcome)
    {
        const http::response answer =
            entry::make_rejection_response(http::make_rejection(reason));
        return answer.body.find("\"outcome\":\"" + outcome + "\"") !=
               std::string::npos;
    }

    void test_what_never_reached_a_handler_has_not_run()
    {
        CPPUNIT_ASSERT(says(rejection_reason::malformed, "not_run"));
        CPPUNIT_ASSERT(says(rejection_reason::slow_body, "not_run"));
        CPPUNIT_ASSERT(says(rejection_reason::too_many_connections, "not_run"));
    }

    // Whatever the handler did before it failed, it may have sent the request.
    void test_what_a_handler_failed_may_have_run()
    {
        CPPUNIT_ASSERT(says(rejection_reason::handler_failed, "unknown"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(refusal_test);

} // namespace
