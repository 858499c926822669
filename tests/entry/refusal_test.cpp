#include <godwit/entry/refusal.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using namespace godwit;
using http::rejection_reason;

class refusal_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(refusal_test);
    CPPUNIT_TEST(test_rejection_before_the_handler_means_not_run);
    CPPUNIT_TEST(test_handler_failure_means_outcome_unknown);
    CPPUNIT_TEST_SUITE_END();

    static bool has_outcome(rejection_reason reason, const std::string& outcome)
    {
        const http::response response =
            entry::make_rejection_response(http::make_rejection(reason));
        return response.body.find("\"outcome\":\"" + outcome + "\"") !=
               std::string::npos;
    }

    void test_rejection_before_the_handler_means_not_run()
    {
        CPPUNIT_ASSERT(has_outcome(rejection_reason::malformed, "not_run"));
        CPPUNIT_ASSERT(has_outcome(rejection_reason::slow_body, "not_run"));
        CPPUNIT_ASSERT(
            has_outcome(rejection_reason::too_many_connections, "not_run"));
    }

    // The handler may have sent the request before it failed.
    void test_handler_failure_means_outcome_unknown()
    {
        CPPUNIT_ASSERT(
            has_outcome(rejection_reason::handler_failed, "unknown"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(refusal_test);

} // namespace
