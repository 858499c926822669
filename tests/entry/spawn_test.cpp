// A coroutine that nobody waits for ends without a word when an exception
// leaves it. These are told, and those that the host lives by begin again.

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
    CPPUNIT_TEST(test_the_end_is_told_however_it_came);
    CPPUNIT_TEST(test_an_exception_begins_a_kept_one_again);
    CPPUNIT_TEST_SUITE_END();

    void test_the_end_is_told_however_it_came()
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

    void test_an_exception_begins_a_kept_one_again()
    {
        asio::io_context io{1};
        int begun = 0;
        spawn_with_restart(
            io.get_executor(), "test", [&begun]() -> asio::awaitable<void> {
                if (++begun < 3)
                    throw 3;
                co_return;
            });
        // Ends, since the third one returns.
        io.run();
        CPPUNIT_ASSERT_EQUAL(3, begun);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(spawn_test);

} // namespace
