#include <godwit/entry/table_request_queue.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <vector>

namespace {

using namespace godwit;

/// A link whose queue the test fills and drains.
struct fake_link
{
    bool open = true;
    std::size_t bytes = 0;

    [[nodiscard]] bool is_open() const { return open; }

    [[nodiscard]] std::size_t queued() const { return bytes; }
};

using request_queue = entry::table_request_queue<fake_link, int>;

constexpr std::size_t response_bytes = 40000; // Two of them exceed the bound.

class table_request_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(table_request_queue_test);
    CPPUNIT_TEST(test_unsent_bytes_limit_the_responses_in_flight);
    CPPUNIT_TEST(test_small_responses_are_sent_together);
    CPPUNIT_TEST(test_a_closed_link_blocks_no_other_request);
    CPPUNIT_TEST(test_a_request_that_waited_too_long_is_dropped);
    CPPUNIT_TEST_SUITE_END();

    std::vector<std::shared_ptr<fake_link>> links_;
    request_queue tested_;
    std::size_t response_bytes_ = response_bytes;

    static core::time_point at_ms(int milliseconds)
    {
        return core::time_point(std::chrono::milliseconds(milliseconds));
    }

    void add_requests(std::size_t count)
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
                link.bytes = response_bytes_;
                ++served;
            });
        return served;
    }

    void test_unsent_bytes_limit_the_responses_in_flight()
    {
        add_requests(5);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, served_at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, served_at(100));
        links_[0]->bytes = 0;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, served_at(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, tested_.waiting());
    }

    void test_small_responses_are_sent_together()
    {
        response_bytes_ = 500;
        add_requests(30);
        CPPUNIT_ASSERT_EQUAL(std::size_t{30}, served_at(0));
    }

    void test_a_closed_link_blocks_no_other_request()
    {
        add_requests(4);
        links_[2]->open = false;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, served_at(0));
        links_[0]->open = false;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, served_at(100));
        CPPUNIT_ASSERT_EQUAL(response_bytes, links_[3]->bytes);
    }

    void test_a_request_that_waited_too_long_is_dropped()
    {
        add_requests(3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, served_at(0));
        links_[0]->bytes = 0;
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, served_at(1001));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, tested_.waiting());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_request_queue_test);

} // namespace
