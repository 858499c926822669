#include <godwit/http/endpoint.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using godwit::http::endpoint;

class endpoint_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endpoint_test);
    CPPUNIT_TEST(test_reads_addresses);
    CPPUNIT_TEST(test_refuses_others);
    CPPUNIT_TEST_SUITE_END();

    void test_reads_addresses()
    {
        const auto v4 = endpoint::parse("127.0.0.1:8080");
        CPPUNIT_ASSERT(v4);
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1"), v4->address());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{8080}, v4->port());
        CPPUNIT_ASSERT_EQUAL(
            std::string("127.0.0.1:9"), v4->with_port(9).to_string());
        const auto v6 = endpoint::parse("[::1]:1");
        CPPUNIT_ASSERT(v6);
        CPPUNIT_ASSERT_EQUAL(std::string("[::1]:1"), v6->to_string());
        CPPUNIT_ASSERT(endpoint::parse_url("http://127.0.0.1:8080/") == v4);
    }

    void test_refuses_others()
    {
        for (const char* text :
             {"",
              ":",
              "localhost:80",
              "127.0.0.1",
              "127.0.0.1:",
              "127.0.0.1:65536",
              "127.0.0.1:-1",
              "127.0.0.1:8x",
              "::1:80",
              "[127.0.0.1]:80"})
            CPPUNIT_ASSERT_MESSAGE(text, !endpoint::parse(text));
        CPPUNIT_ASSERT(!endpoint::parse_url("127.0.0.1:80"));
        CPPUNIT_ASSERT(!endpoint::parse_url("http://127.0.0.1:80/path"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_test);

} // namespace
