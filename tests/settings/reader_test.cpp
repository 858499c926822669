#include <godwit/settings/program_options.hpp>
#include <godwit/settings/reader.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace {

using godwit::settings::program_options;
using godwit::settings::reader;

reader read(std::string_view text)
{
    auto parsed = reader::parse(text);
    CPPUNIT_ASSERT(parsed);
    return *std::move(parsed);
}

class reader_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(reader_test);
    CPPUNIT_TEST(test_values_and_defaults);
    CPPUNIT_TEST(test_errors_name_path_and_remedy);
    CPPUNIT_TEST(test_unknown_key_is_refused);
    CPPUNIT_TEST(test_lists_and_nesting);
    CPPUNIT_TEST(test_command_line);
    CPPUNIT_TEST_SUITE_END();

    void test_values_and_defaults()
    {
        auto settings = read(
            R"({"name": "a", "count": 3, "on": true, "wait_ms": 20,
                "at": "[::1]:80", "share": 0.5})");
        CPPUNIT_ASSERT(*settings.get_string("name") == "a");
        CPPUNIT_ASSERT(*settings.get_integer("count", {1, 5}) == 3);
        CPPUNIT_ASSERT(*settings.get_boolean("on", false));
        CPPUNIT_ASSERT(*settings.get_number("share", {0, 1}) == 0.5);
        CPPUNIT_ASSERT(
            *settings.get_milliseconds(
                "wait_ms",
                {std::chrono::milliseconds(1), std::chrono::seconds(1)}) ==
            std::chrono::milliseconds(20));
        CPPUNIT_ASSERT(settings.get_address("at")->to_string() == "[::1]:80");
        CPPUNIT_ASSERT(*settings.get_integer("absent", {1, 5}, 4) == 4);
        CPPUNIT_ASSERT(settings.finish());
    }

    void test_errors_name_path_and_remedy()
    {
        auto listen = *read(R"({"listen": {"callers": "foo", "count": 9,
            "big": 1e30, "text": ""}})")
                           .get_object("listen");
        CPPUNIT_ASSERT_EQUAL(
            std::string("listen.callers: 'foo' is not an IP:port; write for "
                        "example \"127.0.0.1:8080\""),
            listen.get_address("callers").error().to_string());
        CPPUNIT_ASSERT_EQUAL(
            std::string("listen.count: 9 is out of range; write a whole "
                        "number from 1 to 5"),
            listen.get_integer("count", {1, 5}).error().to_string());
        CPPUNIT_ASSERT_EQUAL(
            std::string("listen.gone: the key is missing; add it"),
            listen.get_string("gone").error().to_string());
        CPPUNIT_ASSERT(!listen.get_integer("big", {1, 5}));
        CPPUNIT_ASSERT(!listen.get_string("text"));
        for (const auto* wrong :
             {"1.2.3.4",
              "1.2.3.4:",
              "1.2.3.4:65536",
              "host:80",
              ":80",
              "",
              "1.2.3.4:8x"})
            CPPUNIT_ASSERT_MESSAGE(
                wrong, !godwit::settings::address::parse(wrong));
    }

    void test_unknown_key_is_refused()
    {
        auto settings = read(R"({"known": 1, "typo": 2})");
        CPPUNIT_ASSERT(settings.get_integer("known", {1, 5}));
        CPPUNIT_ASSERT_EQUAL(
            std::string("typo: the key is not known; remove it, or write one "
                        "of: known"),
            settings.finish().error().to_string());
    }

    void test_lists_and_nesting()
    {
        auto settings =
            read(R"({"servers": [{"at": "1.1.1.1:1"}, {"at": 5}]})");
        auto servers = settings.get_objects("servers", 2);
        CPPUNIT_ASSERT(servers);
        CPPUNIT_ASSERT(servers->at(0).get_address("at"));
        CPPUNIT_ASSERT_EQUAL(
            std::string("servers[1].at: 5 is not an IP:port"),
            servers->at(1).get_address("at").error().message());
        CPPUNIT_ASSERT(!settings.get_objects("servers", 1));
    }

    static int code_of(std::vector<std::string> command_line)
    {
        std::vector<char*> arguments;
        arguments.reserve(command_line.size() + 1);
        for (auto& argument : command_line)
            arguments.push_back(argument.data());
        arguments.push_back(nullptr);
        const auto parsed = program_options::parse(
            "godwit-test",
            "1",
            "A test.",
            static_cast<int>(command_line.size()),
            arguments.data());
        return parsed ? -1 : static_cast<int>(parsed.error().code());
    }

    void test_command_line()
    {
        CPPUNIT_ASSERT_EQUAL(-1, code_of({"p", "--config", "f", "--check"}));
        CPPUNIT_ASSERT_EQUAL(0, code_of({"p", "--help"}));
        CPPUNIT_ASSERT_EQUAL(0, code_of({"p", "--version"}));
        CPPUNIT_ASSERT_EQUAL(2, code_of({"p"}));
        CPPUNIT_ASSERT_EQUAL(2, code_of({"p", "--config"}));
        CPPUNIT_ASSERT_EQUAL(2, code_of({"p", "--other"}));
        CPPUNIT_ASSERT_EQUAL(2, code_of({"p", "--config", "f", "more"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reader_test);

} // namespace
