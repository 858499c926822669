// The settings file is read again every few seconds. What was read before the
// first fault of a file was never freed, so that a file that stays wrong took
// more and more of a host's memory.

#include <godwit/entry/entry_settings.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <malloc.h>

#include <string>
#include <utility>

namespace {

using namespace godwit;

class entry_settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(entry_settings_test);
    CPPUNIT_TEST(test_a_refused_file_leaves_nothing_behind);
    CPPUNIT_TEST_SUITE_END();

    static bool is_refused(const std::string& text)
    {
        auto parsed = settings::reader::parse(text);
        return parsed && !entry::entry_settings::read(std::move(*parsed));
    }

    void test_a_refused_file_leaves_nothing_behind()
    {
        const std::string name(100, 'n');
        const std::string text = R"({"host":")" + name + R"(","zone":")" +
                                 name + R"(","log_level":"loud"})";
        CPPUNIT_ASSERT(is_refused(text));
        const auto before = ::mallinfo2().uordblks;
        constexpr int times = 1000;
        for (int time = 0; time < times; ++time)
            CPPUNIT_ASSERT(is_refused(text));
        // Under a sanitizer, which counts for itself, both are zero.
        CPPUNIT_ASSERT(::mallinfo2().uordblks < before + times);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_settings_test);

} // namespace
