#include <godwit/entry/table_loader.hpp>

#include <godwit/core/time.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace {

using namespace godwit;
using entry::received_table;
using entry::table_loader;

constexpr int slices = 10;

class table_loader_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(table_loader_test);
    CPPUNIT_TEST(test_other_work_runs_between_slices);
    CPPUNIT_TEST(test_tables_are_parsed_in_order);
    CPPUNIT_TEST(test_known_tables_are_not_parsed);
    CPPUNIT_TEST(test_the_oldest_waiting_tables_are_dropped);
    CPPUNIT_TEST(test_a_table_that_arrives_as_parsing_ends_is_parsed);
    CPPUNIT_TEST(test_an_exception_affects_one_table_only);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context io_{1};
    std::vector<std::string> parsed_;
    std::function<bool(const received_table&)> is_new_ =
        [](const received_table&) {
            return true;
        };
    std::function<void()> on_parsed_ = [] {
    };
    table_loader tested_{
        io_.get_executor(),
        {[](std::string_view text) { return start_parsing(text); },
         [this](const received_table& table) { return is_new_(table); },
         [this](const received_table& table, const auto& /*routes*/) {
             parsed_.push_back(table.text);
             // The callback may replace itself.
             const auto on_parsed = on_parsed_;
             on_parsed();
         }}};

    static entry::table_parser start_parsing(std::string_view text)
    {
        if (text == "throws")
            throw std::runtime_error("no memory");
        const auto left = std::make_shared<int>(slices);
        return [left]() -> entry::table_parse_result {
            if (--*left > 0)
                return std::nullopt;
            return core::fail(core::error_kind::protocol, "of the test", "");
        };
    }

    void add(const std::string& text) { tested_.add({text, "source", 0}); }

    void run() { io_.run_for(std::chrono::seconds(3)); }

    void test_other_work_runs_between_slices()
    {
        int served = 0;
        std::function<void()> serve = [this, &served, &serve] {
            ++served;
            if (parsed_.empty())
                boost::asio::post(io_, serve);
        };
        add("a");
        boost::asio::post(io_, serve);
        run();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, parsed_.size());
        CPPUNIT_ASSERT(served >= slices - 1);
        CPPUNIT_ASSERT(!tested_.is_busy());
    }

    void test_tables_are_parsed_in_order()
    {
        add("a");
        add("b");
        CPPUNIT_ASSERT(tested_.is_busy());
        run();
        CPPUNIT_ASSERT(parsed_ == std::vector<std::string>({"a", "b"}));
    }

    void test_known_tables_are_not_parsed()
    {
        is_new_ = [](const received_table& table) {
            return table.text != "a";
        };
        add("a");
        add("b");
        run();
        CPPUNIT_ASSERT(parsed_ == std::vector<std::string>({"b"}));
    }

    void test_the_oldest_waiting_tables_are_dropped()
    {
        for (const char* text : {"a", "b", "c", "d", "e", "f"})
            add(text);
        run();
        CPPUNIT_ASSERT_EQUAL(table_loader::max_waiting, parsed_.size());
        CPPUNIT_ASSERT_EQUAL(std::string("f"), parsed_.back());
    }

    // Guards against a lost wake-up: a table that arrives just as parsing ends
    // must be parsed, whichever coroutine runs first.
    void test_a_table_that_arrives_as_parsing_ends_is_parsed()
    {
        on_parsed_ = [this] {
            on_parsed_ = [] {
            };
            boost::asio::post(io_, [this] { add("b"); });
        };
        add("a");
        run();
        CPPUNIT_ASSERT(parsed_ == std::vector<std::string>({"a", "b"}));
    }

    void test_an_exception_affects_one_table_only()
    {
        add("throws");
        add("b");
        run();
        CPPUNIT_ASSERT(parsed_ == std::vector<std::string>({"b"}));
        add("c");
        io_.restart();
        run();
        CPPUNIT_ASSERT(parsed_ == std::vector<std::string>({"b", "c"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_loader_test);

} // namespace
