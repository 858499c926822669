#include <godwit/entry/table_request_queue.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <vector>

namespace {

using namespace godwit;

/// A link that the test fills and drains.
struct fake_link
{
    bool open = true;
    std::size_t bytes = 0;

    [[nodiscard]] bool is_open() const { return open; }

    [[nodiscard]] std::size_t queued() const { return bytes; }
};

using request_queue = entry::table_request_queue<fake_link, int>;

constexpr std::size_t answer_bytes = 40000; // Two of them fill the queue.

class table_request_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(table_request_queue_test);
    CPPUNIT_TEST(test_few_are_served_at_a_time);
    CPPUNIT_TEST(test_small_answers_go_out_together);
    CPPUNIT_TEST(test_a_closed_link_holds_up_nobody);
    CPPUNIT_TEST(test_who_waited_long_gets_nothing_any_more);
    CPPUNIT_TEST_SUITE_END();

    std::vector<std::shared_ptr<fake_link>> links_;
    request_queue tested_;
    std::size_t answer_bytes_ = answer_bytes;

    static core::time_point at_ms(int milliseconds)
    {
        return core::time_point(std::chrono::milliseconds(milliseconds));
    }

    void ask(std::size_t count)
    {
        for (std::size_t at = 0; at < count; ++at) {
            links_.push_back(std::make_shared<fake_link>());
            tested_.add(links_.back(), static_cast<int>(at), at_ms(0));
        }
    }

    std::size_t served_at(int milliseconds)
    {
        std::size_t served = 0;
        tested_.serve(
            at_ms(milliseconds), [this, &served](fake_link& link, int) {
                link.bytes = answer_bytes_;
                ++served;
            });
        return served;
    }

    void test_few_are_served_at_a_time()
    {
        ask(5);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, served_at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, served_at(100));
        links_[0]->bytes = 0;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, served_at(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, tested_.waiting());
    }

    void test_small_answers_go_out_together()
    {
        answer_bytes_ = 500;
        ask(30);
        CPPUNIT_ASSERT_EQUAL(std::size_t{30}, served_at(0));
    }

    void test_a_closed_link_holds_up_nobody()
    {
        ask(4);
        links_[2]->open = false;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, served_at(0));
        links_[0]->open = false;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, served_at(100));
        CPPUNIT_ASSERT_EQUAL(answer_bytes, links_[3]->bytes);
    }

    void test_who_waited_long_gets_nothing_any_more()
    {
        ask(3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, served_at(0));
        links_[0]->bytes = 0;
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, served_at(1001));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, tested_.waiting());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_request_queue_test);

} // namespace
