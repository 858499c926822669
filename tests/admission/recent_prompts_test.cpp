#include <godwit/admission/recent_prompts.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <set>
#include <string>

namespace {

using namespace godwit;
using admission::recent_prompts;
using ids = std::set<std::string>;

class recent_prompts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(recent_prompts_test);
    CPPUNIT_TEST(test_parts_of_recent_prompts_are_known);
    CPPUNIT_TEST(test_prompts_expire);
    CPPUNIT_TEST(test_the_number_of_prompts_is_bounded);
    CPPUNIT_TEST(test_prompts_without_shared_parts_are_not_kept);
    CPPUNIT_TEST_SUITE_END();

    const core::time_point start_{std::chrono::hours(1)};
    recent_prompts prompts_;

    void test_parts_of_recent_prompts_are_known()
    {
        CPPUNIT_ASSERT(prompts_.part_ids(start_).empty());
        prompts_.add({"a", "b"}, start_);
        prompts_.add({"a", "c"}, start_);
        CPPUNIT_ASSERT((ids{"a", "b", "c"}) == prompts_.part_ids(start_));
    }

    void test_prompts_expire()
    {
        prompts_.add({"a"}, start_);
        prompts_.add({"b"}, start_ + std::chrono::seconds(1));
        const core::time_point end = start_ + recent_prompts::retention;
        CPPUNIT_ASSERT(ids{"b"} == prompts_.part_ids(end));
        prompts_.add({"c"}, end);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, prompts_.size());
    }

    void test_the_number_of_prompts_is_bounded()
    {
        for (std::size_t number = 0; number < 2 * recent_prompts::max_prompts;
             ++number)
            prompts_.add({std::to_string(number)}, start_);
        CPPUNIT_ASSERT_EQUAL(recent_prompts::max_prompts, prompts_.size());
        CPPUNIT_ASSERT(!prompts_.part_ids(start_).contains("0"));
    }

    void test_prompts_without_shared_parts_are_not_kept()
    {
        prompts_.add({}, start_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, prompts_.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(recent_prompts_test);

} // namespace
