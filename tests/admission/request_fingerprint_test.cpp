#include <godwit/admission/request_fingerprint.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

namespace {

using namespace godwit;
using namespace godwit::admission;

class request_fingerprint_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_fingerprint_test);
    CPPUNIT_TEST(test_equal_contents_have_equal_fingerprints);
    CPPUNIT_TEST(test_each_part_changes_the_fingerprint);
    CPPUNIT_TEST(test_part_boundaries_change_the_fingerprint);
    CPPUNIT_TEST(test_prompt_parts_differ_from_each_other_and_from_contents);
    CPPUNIT_TEST_SUITE_END();

    const request_content content_{
        core::organisation_name("north"), "POST", "a.example", "/a?b", "body"};

    void test_equal_contents_have_equal_fingerprints()
    {
        // Guards against hashing the address of a view instead of its bytes.
        const std::string body = "body";
        request_content same = content_;
        same.body = body;
        CPPUNIT_ASSERT(fingerprint_of(content_) == fingerprint_of(same));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{32}, fingerprint_of(content_).value().size());
    }

    void test_each_part_changes_the_fingerprint()
    {
        std::set<request_fingerprint> seen{fingerprint_of(content_)};
        request_content other = content_;
        other.organisation = core::organisation_name("south");
        seen.insert(fingerprint_of(other));
        other = content_;
        other.method = "PUT";
        seen.insert(fingerprint_of(other));
        other = content_;
        other.host = "b.example";
        seen.insert(fingerprint_of(other));
        other = content_;
        other.target = "/a?c";
        seen.insert(fingerprint_of(other));
        other = content_;
        other.body = std::string_view("body\0", 5);
        seen.insert(fingerprint_of(other));
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, seen.size());
    }

    void test_part_boundaries_change_the_fingerprint()
    {
        // Guards against hashing the parts as one concatenated string.
        request_content shifted = content_;
        shifted.target = "/a";
        shifted.body = "?bbody";
        CPPUNIT_ASSERT(fingerprint_of(content_) != fingerprint_of(shifted));
    }

    void test_prompt_parts_differ_from_each_other_and_from_contents()
    {
        const std::set<request_fingerprint> seen{
            fingerprint_of(content_),
            fingerprint_of_prompt_part("a1"),
            fingerprint_of_prompt_part("a10")};
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, seen.size());
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{32}, fingerprint_of_prompt_part("a1").value().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_fingerprint_test);

} // namespace
