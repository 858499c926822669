// A detached coroutine that throws would end without a trace. `spawn` logs the
// exception and calls the end handler; `spawn_with_restart` restarts the
// coroutine.

#include <godwit/entry/spawn.hpp>

#include <boost/asio/io_context.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <stdexcept>

namespace {

using namespace godwit::entry;
namespace asio = boost::asio;

class spawn_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(spawn_test);
    CPPUNIT_TEST(test_end_handler_is_called_on_return_and_on_exception);
    CPPUNIT_TEST(test_coroutine_is_restarted_after_exceptions);
    CPPUNIT_TEST_SUITE_END();

    void test_end_handler_is_called_on_return_and_on_exception()
    {
        for (const bool fails : {false, true}) {
            asio::io_context io{1};
            int ends = 0;
            spawn(
                io.get_executor(),
                "test",
                [fails]() -> asio::awaitable<void> {
                    if (fails)
                        throw std::runtime_error("a fault");
                    co_return;
                },
                [&ends] { ++ends; });
            io.run();
            CPPUNIT_ASSERT_EQUAL(1, ends);
        }
    }

    void test_coroutine_is_restarted_after_exceptions()
    {
        asio::io_context io{1};
        int starts = 0;
        spawn_with_restart(
            io.get_executor(), "test", [&starts]() -> asio::awaitable<void> {
                if (++starts < 3)
                    throw 3;
                co_return;
            });
        // Returns because the third run of the coroutine does.
        io.run();
        CPPUNIT_ASSERT_EQUAL(3, starts);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(spawn_test);

} // namespace
