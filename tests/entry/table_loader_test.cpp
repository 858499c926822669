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
    CPPUNIT_TEST(test_others_are_served_between_slices);
    CPPUNIT_TEST(test_tables_are_read_in_their_order);
    CPPUNIT_TEST(test_what_is_no_news_is_not_read);
    CPPUNIT_TEST(test_of_many_that_wait_the_oldest_are_dropped);
    CPPUNIT_TEST(test_a_table_that_comes_as_another_ends_is_read);
    CPPUNIT_TEST(test_an_exception_costs_one_table);
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
             // It may replace itself.
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

    void test_others_are_served_between_slices()
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

    void test_tables_are_read_in_their_order()
    {
        add("a");
        add("b");
        CPPUNIT_ASSERT(tested_.is_busy());
        run();
        CPPUNIT_ASSERT(parsed_ == std::vector<std::string>({"a", "b"}));
    }

    void test_what_is_no_news_is_not_read()
    {
        is_new_ = [](const received_table& table) {
            return table.text != "a";
        };
        add("a");
        add("b");
        run();
        CPPUNIT_ASSERT(parsed_ == std::vector<std::string>({"b"}));
    }

    void test_of_many_that_wait_the_oldest_are_dropped()
    {
        for (const char* text : {"a", "b", "c", "d", "e", "f"})
            add(text);
        run();
        CPPUNIT_ASSERT_EQUAL(table_loader::max_waiting, parsed_.size());
        CPPUNIT_ASSERT_EQUAL(std::string("f"), parsed_.back());
    }

    // Whether the reading is over may not depend on who runs first.
    void test_a_table_that_comes_as_another_ends_is_read()
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

    void test_an_exception_costs_one_table()
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
