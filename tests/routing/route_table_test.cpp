#include <godwit/routing/route_table.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using namespace godwit;
using routing::route;
using routing::route_table;
using routing::route_table_content;

route make_route(
    const std::string& name,
    const std::string& host,
    const std::string& prefix,
    const std::string& service = "lm")
{
    route made;
    made.name = name;
    made.host = host;
    made.path_prefix = prefix;
    made.services = {{core::service_name(service), 1.0}};
    return made;
}

route_table_content sample()
{
    route_table_content content;
    content.version = 7;
    content.services.push_back(
        {core::service_name("lm"), "/health", 8, {}, {}});
    content.routes = {
        make_route("all", "a.example", "/"),
        make_route("deep", "a.example", "/x/y/"),
        make_route("middle", "a.example", "/x/"),
        make_route("other", "b.example", "/x/")};
    content.organisations.push_back(
        {core::organisation_name("north"), {"key-1", "key-2"}, 3});
    return content;
}

class route_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(route_table_test);
    CPPUNIT_TEST(test_longest_prefix_of_the_host_wins);
    CPPUNIT_TEST(test_paths_of_any_length);
    CPPUNIT_TEST(test_the_first_of_two_equal_routes_is_used);
    CPPUNIT_TEST(test_host_ignores_case_and_port);
    CPPUNIT_TEST(test_keys_identify_their_organisation);
    CPPUNIT_TEST(test_a_duplicate_key_of_one_organisation_is_accepted);
    CPPUNIT_TEST(test_invalid_tables_are_rejected);
    CPPUNIT_TEST_SUITE_END();

    static std::string routed(const std::string& host, const std::string& path)
    {
        const auto table = route_table::create(sample()).value();
        const route* found = table->find_route(host, path);
        return found == nullptr ? "none" : found->name;
    }

    void test_longest_prefix_of_the_host_wins()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("deep"), routed("a.example", "/x/y/z"));
        CPPUNIT_ASSERT_EQUAL(
            std::string("middle"), routed("a.example", "/x/z"));
        CPPUNIT_ASSERT_EQUAL(std::string("all"), routed("a.example", "/x"));
        CPPUNIT_ASSERT_EQUAL(std::string("other"), routed("b.example", "/x/"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), routed("b.example", "/"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), routed("c.example", "/x/"));
    }

    void test_paths_of_any_length()
    {
        const std::string slashes(100'000, '/');
        CPPUNIT_ASSERT_EQUAL(std::string("none"), routed("a.example", ""));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), routed("a.example", "x/y/"));
        CPPUNIT_ASSERT_EQUAL(std::string("all"), routed("a.example", "/"));
        CPPUNIT_ASSERT_EQUAL(std::string("all"), routed("a.example", slashes));
        CPPUNIT_ASSERT_EQUAL(
            std::string("deep"), routed("a.example", "/x/y/" + slashes));
        CPPUNIT_ASSERT_EQUAL(
            std::string("middle"), routed("a.example", "/x/?y=/x/y/"));
    }

    void test_the_first_of_two_equal_routes_is_used()
    {
        auto content = sample();
        content.routes.push_back(make_route("late", "A.example", "/x/"));
        const auto table = route_table::create(std::move(content)).value();
        CPPUNIT_ASSERT_EQUAL(
            std::string("middle"),
            table->find_route("a.example", "/x/1")->name);
    }

    void test_host_ignores_case_and_port()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("other"), routed("B.Example:8080", "/x/1"));
    }

    void test_keys_identify_their_organisation()
    {
        const auto table = route_table::create(sample()).value();
        const auto* owner = table->find_organisation("key-2");
        CPPUNIT_ASSERT(owner != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string("north"), owner->name.value());
        CPPUNIT_ASSERT(table->find_organisation("key") == nullptr);
        CPPUNIT_ASSERT(table->find_organisation("") == nullptr);
    }

    void test_a_duplicate_key_of_one_organisation_is_accepted()
    {
        auto content = sample();
        content.organisations[0].keys = {"key-1", "key-2", "key-1"};
        const auto table = route_table::create(content);
        CPPUNIT_ASSERT(table.has_value());
        CPPUNIT_ASSERT((*table)->find_organisation("key-1") != nullptr);
    }

    void test_invalid_tables_are_rejected()
    {
        auto content = sample();
        content.routes[0].path_prefix = "x/";
        CPPUNIT_ASSERT(!route_table::create(content));
        content = sample();
        content.routes[0].services = {{core::service_name("gone"), 1.0}};
        CPPUNIT_ASSERT(!route_table::create(content));
        content = sample();
        content.routes[0].services.clear();
        CPPUNIT_ASSERT(!route_table::create(content));
        content = sample();
        content.organisations.push_back(
            {core::organisation_name("south"), {"key-1"}, {}});
        CPPUNIT_ASSERT(!route_table::create(content));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_table_test);

} // namespace
