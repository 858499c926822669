#include <godwit/memory/choose_evictions.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>
#include <vector>

using namespace godwit::memory;
using godwit::core::duration;
using godwit::core::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t requester_id = 99;
constexpr std::size_t kib = 1024;

/// Who ends first when the account runs out.
class choose_evictions_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(choose_evictions_test);
    CPPUNIT_TEST(ends_those_first_whose_clients_lose_least);
    CPPUNIT_TEST(ends_the_one_first_that_waits_for_longest);
    CPPUNIT_TEST(ends_no_more_than_needed);
    CPPUNIT_TEST(ends_nobody_if_that_is_not_enough);
    CPPUNIT_TEST(never_ends_what_may_have_run);
    CPPUNIT_TEST(spares_bodies_that_arrive_and_are_smaller);
    CPPUNIT_TEST(a_new_connection_ends_no_request_that_arrives);
    CPPUNIT_TEST(spares_responses_that_are_taken);
    CPPUNIT_TEST(spares_those_that_hold_nothing);
    CPPUNIT_TEST(counts_descriptors_on_their_own);
    CPPUNIT_TEST_SUITE_END();

    const time_point now_ = time_point(std::chrono::hours(1));
    std::vector<holding> holdings_;
    holding requester_{requester_id, activity::receiving, now_, {100 * kib, 1}};

    void
    add(std::uint64_t id,
        activity doing,
        duration since,
        std::size_t bytes = 10 * kib)
    {
        holdings_.push_back({id, doing, now_ - since, {bytes, 1}});
    }

    [[nodiscard]] std::vector<std::uint64_t> choose(amounts shortage) const
    {
        return choose_evictions(
            holdings_, requester_, shortage, account_limits(), now_);
    }

    using ids = std::vector<std::uint64_t>;

public:
    void ends_those_first_whose_clients_lose_least()
    {
        add(1, activity::receiving, milliseconds(10), 200 * kib);
        add(2, activity::sending, milliseconds(5000));
        add(3, activity::idle, milliseconds(1));
        add(4, activity::receiving, milliseconds(1500));
        add(5, activity::closing, milliseconds(1));
        CPPUNIT_ASSERT(choose({240 * kib, 5}) == (ids{5, 4, 3, 2, 1}));
    }

    void ends_the_one_first_that_waits_for_longest()
    {
        add(1, activity::idle, milliseconds(100));
        add(2, activity::idle, milliseconds(300));
        add(3, activity::idle, milliseconds(200));
        CPPUNIT_ASSERT(choose({kib, 0}) == ids{2});
        CPPUNIT_ASSERT(choose({0, 2}) == (ids{2, 3}));
    }

    void ends_no_more_than_needed()
    {
        add(1, activity::receiving, milliseconds(3000));
        add(2, activity::receiving, milliseconds(2000));
        CPPUNIT_ASSERT(choose({10 * kib, 0}) == ids{1});
        CPPUNIT_ASSERT(choose({10 * kib + 1, 0}) == (ids{1, 2}));
    }

    void ends_nobody_if_that_is_not_enough()
    {
        add(1, activity::idle, milliseconds(100));
        CPPUNIT_ASSERT(choose({11 * kib, 0}).empty());
    }

    void never_ends_what_may_have_run()
    {
        add(1, activity::serving, std::chrono::minutes(5), 1000 * kib);
        CPPUNIT_ASSERT(choose({kib, 0}).empty());
    }

    void spares_bodies_that_arrive_and_are_smaller()
    {
        add(1, activity::receiving, milliseconds(900), 100 * kib);
        CPPUNIT_ASSERT(choose({kib, 0}).empty());
        add(2, activity::receiving, milliseconds(900), 101 * kib);
        add(3, activity::receiving, milliseconds(0), 102 * kib);
        CPPUNIT_ASSERT(choose({kib, 0}) == ids{3});
    }

    void a_new_connection_ends_no_request_that_arrives()
    {
        requester_.doing = activity::idle;
        requester_.held = {};
        add(1, activity::receiving, milliseconds(900), 1000 * kib);
        CPPUNIT_ASSERT(choose({0, 1}).empty());
        add(2, activity::receiving, milliseconds(1000), kib);
        CPPUNIT_ASSERT(choose({0, 1}) == ids{2});
    }

    void spares_responses_that_are_taken()
    {
        add(1, activity::sending, milliseconds(900), 1000 * kib);
        CPPUNIT_ASSERT(choose({kib, 0}).empty());
    }

    // A connection that was refused for want of room still gets its answer.
    void spares_those_that_hold_nothing()
    {
        holdings_.push_back({1, activity::closing, now_ - seconds(1), {}});
        add(2, activity::idle, milliseconds(0));
        CPPUNIT_ASSERT(choose({kib, 0}) == ids{2});
    }

    void counts_descriptors_on_their_own()
    {
        holdings_.push_back(
            {1, activity::idle, now_ - milliseconds(1), {1000 * kib, 0}});
        CPPUNIT_ASSERT(choose({0, 1}).empty());
        add(2, activity::idle, milliseconds(0));
        CPPUNIT_ASSERT(choose({0, 1}) == (ids{1, 2}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(choose_evictions_test);

} // namespace
