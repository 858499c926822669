// Guards against taking a malformed load field for a statement.

#include <godwit/platform_adapter/request_codec.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using namespace godwit;
using platform_adapter::request_codec;

class load_statement_codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_statement_codec_test);
    CPPUNIT_TEST(test_four_figures_are_a_statement);
    CPPUNIT_TEST(test_three_figures_change_nothing);
    CPPUNIT_TEST(test_malformed_values_count_as_absent);
    CPPUNIT_TEST(test_a_repeated_field_counts_as_absent);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char* name = "X-Godwitworks-Replica-Load";

    static entry::response_metadata read(const std::string& value)
    {
        http::header_fields fields;
        fields.set(name, value);
        return request_codec::read_response_metadata(fields);
    }

    void test_four_figures_are_a_statement()
    {
        const auto expected =
            placement::load_statement::create(6, 10, 6, 250).value();
        for (const char* value : {"6,10,6,250", " 6, 10 ,6,\t250 "}) {
            const auto metadata = read(value);
            CPPUNIT_ASSERT_MESSAGE(value, metadata.load == expected);
            CPPUNIT_ASSERT_MESSAGE(value, !metadata.has_invalid_load);
        }
    }

    void test_three_figures_change_nothing()
    {
        CPPUNIT_ASSERT(read("6,10,6") == entry::response_metadata());
    }

    void test_malformed_values_count_as_absent()
    {
        for (const char* value :
             {"",
              " ",
              "x",
              "6",
              "6,10",
              "6,10,6,",
              "6,10,6,250,1",
              "6,10,6,250,",
              ",,,",
              "6,,6,250",
              "-1,10,6,250",
              "6,10,-6,250",
              "6,10,6,-250",
              "6,10,6,+250",
              "6,10,6,2.5",
              "6,10,6,2.5e2",
              "6,10,6,nan",
              "6,10,6,inf",
              "6,10,6,0",
              "6,10,0,100",
              "6,10,0",
              "6,x,6",
              "6,10,6,99999",
              "6,10,6,99999999999999999999",
              "4294967296,10,6,250",
              "200000,10,6,250",
              "6,10,6,0x64",
              "6;10;6;250"}) {
            const auto metadata = read(value);
            CPPUNIT_ASSERT_MESSAGE(value, !metadata.load);
            CPPUNIT_ASSERT_MESSAGE(value, metadata.has_invalid_load);
        }
    }

    void test_a_repeated_field_counts_as_absent()
    {
        http::header_fields fields;
        fields.add(name, "6,10,6,250");
        fields.add(name, "6,10,6,250");
        const auto metadata = request_codec::read_response_metadata(fields);
        CPPUNIT_ASSERT(!metadata.load);
        CPPUNIT_ASSERT(metadata.has_invalid_load);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_statement_codec_test);

} // namespace
