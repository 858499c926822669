#include <godwit/dispatch/length_estimator.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using namespace godwit;

const core::service_name service("llm");
const core::request_class_name report("report");
const core::request_class_name tag("tag");

void observe(
    dispatch::length_estimator& estimator,
    const core::service_name& of_service,
    const core::request_class_name& of_class,
    std::uint32_t length)
{
    estimator.progressed(of_service, of_class, 0, length);
    estimator.ended(of_service, of_class, length);
}

class length_estimator_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(length_estimator_test);
    CPPUNIT_TEST(test_knows_classes_apart);
    CPPUNIT_TEST(test_falls_back_to_broader_groups);
    CPPUNIT_TEST(test_bounded_groups);
    CPPUNIT_TEST_SUITE_END();

    void test_knows_classes_apart()
    {
        dispatch::length_estimator estimator;
        for (int count = 0; count < 50; ++count) {
            observe(estimator, service, report, 2000);
            observe(estimator, service, tag, 20);
        }
        CPPUNIT_ASSERT(*estimator.remaining(service, report, 0, 0.5) > 1500);
        CPPUNIT_ASSERT(*estimator.remaining(service, tag, 0, 0.5) < 30);
    }

    void test_falls_back_to_broader_groups()
    {
        dispatch::length_estimator estimator;
        CPPUNIT_ASSERT(!estimator.remaining(service, report, 0, 0.5));
        for (int count = 0; count < 50; ++count)
            observe(estimator, service, report, 2000);
        const core::request_class_name fresh("new");
        CPPUNIT_ASSERT(*estimator.remaining(service, fresh, 0, 0.5) > 1500);
        const core::service_name other("other");
        CPPUNIT_ASSERT(*estimator.remaining(other, fresh, 0, 0.5) > 1500);
    }

    void test_bounded_groups()
    {
        dispatch::length_estimator estimator;
        for (int number = 0; number < 2000; ++number) {
            const core::service_name many(std::to_string(number));
            observe(estimator, many, report, 100);
        }
        // Those beyond the bound are still answered by the widest group.
        const core::service_name last("1999");
        CPPUNIT_ASSERT(estimator.remaining(last, report, 0, 0.5).has_value());
        CPPUNIT_ASSERT(
            estimator.group_count() <= dispatch::length_estimator::max_groups);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(length_estimator_test);

} // namespace
