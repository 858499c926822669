#include <godwit/entry/call_registry.hpp>

#include <godwit/entry/routed_call.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <optional>
#include <stdexcept>

namespace {

using namespace godwit::entry;

class idle_call : public running_call
{
public:
    [[nodiscard]] const routed_call& call() const override
    {
        throw std::logic_error("no request belongs to this call");
    }

    [[nodiscard]] call_progress progress() const override
    {
        return call_progress::waiting;
    }

    void on_shutdown() override { ++shutdowns; }

    void on_response_due() override { ++responses_due; }

    int shutdowns = 0;
    int responses_due = 0;
};

class call_registry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(call_registry_test);
    CPPUNIT_TEST(test_registered_calls_are_notified);
    CPPUNIT_TEST(test_a_registration_may_outlive_the_registry);
    CPPUNIT_TEST_SUITE_END();

    idle_call call_;

    // Guards against notices to calls that have ended.
    void test_registered_calls_are_notified()
    {
        call_registry registry;
        {
            const call_registry::registration registered(registry, call_);
            registry.notify_shutdown();
            registry.notify_response_due();
        }
        registry.notify_shutdown();
        CPPUNIT_ASSERT_EQUAL(1, call_.shutdowns);
        CPPUNIT_ASSERT_EQUAL(1, call_.responses_due);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, registry.size());
    }

    // Guards against writes to a registry that was destroyed before the
    // requests of its host.
    void test_a_registration_may_outlive_the_registry()
    {
        std::optional<call_registry> registry(std::in_place);
        const call_registry::registration registered(*registry, call_);
        registry.reset();
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(call_registry_test);
