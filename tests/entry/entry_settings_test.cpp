// The settings file is read again every few seconds. Guards against a leak:
// values read before the first error of a file were never freed, so that a file
// that stayed invalid used up a host's memory.

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
    CPPUNIT_TEST(test_a_rejected_file_leaks_no_memory);
    CPPUNIT_TEST(test_zones_name_their_regions);
    CPPUNIT_TEST(test_the_link_has_a_capacity);
    CPPUNIT_TEST(test_admission_features_are_off_unless_named);
    CPPUNIT_TEST_SUITE_END();

    static bool is_refused(const std::string& text)
    {
        auto parsed = settings::reader::parse(text);
        return parsed && !entry::entry_settings::read(std::move(*parsed));
    }

    void test_a_rejected_file_leaks_no_memory()
    {
        const std::string name(100, 'n');
        const std::string text = R"({"host":")" + name + R"(","zone":")" +
                                 name + R"(","log_level":"loud"})";
        CPPUNIT_ASSERT(is_refused(text));
        const auto before = ::mallinfo2().uordblks;
        constexpr int times = 1000;
        for (int time = 0; time < times; ++time)
            CPPUNIT_ASSERT(is_refused(text));
        // Under a sanitizer, which has its own allocator, both are zero.
        CPPUNIT_ASSERT(::mallinfo2().uordblks < before + times);
    }

    static core::result<entry::entry_settings>
    read_with_zones(const std::string& zones, const std::string& more = "")
    {
        return entry::entry_settings::read(
            settings::reader::parse(
                R"({"host":"h","zone":"a","zones":)" + zones + more +
                R"(,"listen":{"callers":"127.0.0.1:1",)"
                R"("readiness":"127.0.0.1:2","operators":"127.0.0.1:3",)"
                R"("neighbours":"127.0.0.1:4"}})")
                .value());
    }

    void test_zones_name_their_regions()
    {
        const auto read = read_with_zones(R"({"a":"north","b":"south"})");
        CPPUNIT_ASSERT(
            read->regions ==
            routing::zone_regions(
                {{core::zone_name("a"), core::region_name("north")},
                 {core::zone_name("b"), core::region_name("south")}}));
        const auto wrong = read_with_zones(R"({"a":7})");
        CPPUNIT_ASSERT(
            wrong.error().to_string().find("zones.a") != std::string::npos);
    }

    // Guards against a deployment that gets features which it did not ask for,
    // and against a mistyped flag that is taken for "off".
    void test_admission_features_are_off_unless_named()
    {
        const auto absent = read_with_zones("{}");
        CPPUNIT_ASSERT(!absent->learns_lengths);
        const auto named =
            read_with_zones("{}", R"(,"admission":{"learned_lengths":true})");
        CPPUNIT_ASSERT(named->learns_lengths);
        const auto reloaded = absent->with_reloadable_settings(*named);
        CPPUNIT_ASSERT(reloaded.learns_lengths);
        const auto wrong =
            read_with_zones("{}", R"(,"admission":{"learned_lengths":"yes"})");
        CPPUNIT_ASSERT(
            wrong.error().to_string().find("admission.learned_lengths") !=
            std::string::npos);
    }

    void test_the_link_has_a_capacity()
    {
        const auto absent = read_with_zones("{}");
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, absent->link_mbps, 1e-9);
        const auto named = read_with_zones("{}", R"(,"link_mbps":10.5)");
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10.5, named->link_mbps, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            10.5, absent->with_reloadable_settings(*named).link_mbps, 1e-9);
        const auto negative = read_with_zones("{}", R"(,"link_mbps":-1)");
        CPPUNIT_ASSERT(
            negative.error().to_string().find("link_mbps") !=
            std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_settings_test);

} // namespace
