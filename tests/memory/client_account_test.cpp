#include <godwit/memory/client_account.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <deque>
#include <optional>
#include <utility>

using namespace godwit::memory;
using godwit::core::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = 1024 * kib;

account_limits limits()
{
    account_limits bounds;
    bounds.total = {8 * mib, 100};
    bounds.reserved_bytes = 1 * mib;
    return bounds;
}

/// The sum of what all clients hold stays under one bound, and room that comes
/// free is used again.
class client_account_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(client_account_test);
    CPPUNIT_TEST(bounds_the_sum_of_all_holders);
    CPPUNIT_TEST(gives_back_what_came_free);
    CPPUNIT_TEST(keeps_a_reserve_for_small_holders);
    CPPUNIT_TEST(grants_nothing_before_it_came_back);
    CPPUNIT_TEST(tells_no_more_holders_to_end_than_needed);
    CPPUNIT_TEST(tells_a_holder_again_that_went_on);
    CPPUNIT_TEST(a_slow_reader_that_goes_on_keeps_nobody_waiting);
    CPPUNIT_TEST(a_new_holder_waits_since_it_was_opened);
    CPPUNIT_TEST(moves_what_another_holder_has);
    CPPUNIT_TEST(many_stalled_bodies_leave_room_for_others);
    CPPUNIT_TEST(slow_readers_leave_room_for_others);
    CPPUNIT_TEST(silent_connections_leave_room_for_others);
    CPPUNIT_TEST(derives_its_bounds_from_the_process);
    CPPUNIT_TEST_SUITE_END();

    std::shared_ptr<client_account> account_ = client_account::create(limits());
    time_point now_ = time_point(std::chrono::hours(1));

    /// A client whose holder ends as soon as it is told to.
    struct client
    {
        std::optional<client_account::holder> held;
        bool is_told = false;
    };

    std::deque<client> clients_;

    client& add_client(activity doing, amounts holds)
    {
        client& added = clients_.emplace_back();
        added.held = account_->open(doing, now_);
        added.held->on_eviction([&added] { added.is_told = true; });
        CPPUNIT_ASSERT(added.held->try_take(holds, now_) == grant::granted);
        return added;
    }

    std::size_t end_those_that_were_told()
    {
        std::size_t ended = 0;
        for (client& one : clients_) {
            if (one.is_told && one.held) {
                one.held.reset();
                ++ended;
            }
        }
        return ended;
    }

    /// Takes with as many questions as it needs; returns the last answer.
    grant take(client_account::holder& taker, std::size_t bytes)
    {
        for (int tries = 0; tries < 100; ++tries) {
            const grant answer = taker.try_take({bytes, 0}, now_);
            if (answer != grant::pending)
                return answer;
            end_those_that_were_told();
        }
        return grant::pending;
    }

public:
    void bounds_the_sum_of_all_holders()
    {
        std::deque<client_account::holder> holders;
        std::size_t granted = 0;
        for (int count = 0; count < 400; ++count) {
            holders.push_back(account_->open(activity::serving, now_));
            if (holders.back().try_take({32 * kib, 0}, now_) == grant::granted)
                ++granted;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{256}, granted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{8 * mib}, account_->used().bytes);
        CPPUNIT_ASSERT_EQUAL(std::size_t{144}, account_->refusals());
    }

    void gives_back_what_came_free()
    {
        auto one = account_->open(activity::serving, now_);
        CPPUNIT_ASSERT(one.try_take({7 * mib, 1}, now_) == grant::granted);
        CPPUNIT_ASSERT(one.try_resize(2 * mib, now_) == grant::granted);
        CPPUNIT_ASSERT(account_->used() == (amounts{2 * mib, 1}));
        one.give_back({10 * mib, 0});
        CPPUNIT_ASSERT(account_->used() == (amounts{0, 1}));
        {
            auto moved = std::move(one);
            CPPUNIT_ASSERT(moved.held() == (amounts{0, 1}));
        }
        CPPUNIT_ASSERT(account_->used() == amounts{});
    }

    void keeps_a_reserve_for_small_holders()
    {
        auto large = account_->open(activity::serving, now_);
        CPPUNIT_ASSERT(large.try_take({8 * mib, 0}, now_) == grant::refused);
        CPPUNIT_ASSERT(large.try_take({7 * mib, 0}, now_) == grant::granted);
        auto small = account_->open(activity::receiving, now_);
        CPPUNIT_ASSERT(small.try_take({64 * kib, 0}, now_) == grant::granted);
        CPPUNIT_ASSERT(small.try_take({1, 0}, now_) == grant::refused);
    }

    void grants_nothing_before_it_came_back()
    {
        client& stalled = add_client(activity::receiving, {7 * mib, 1});
        now_ += seconds(2);
        auto next = account_->open(activity::receiving, now_);
        CPPUNIT_ASSERT(next.try_take({mib, 0}, now_) == grant::pending);
        CPPUNIT_ASSERT(stalled.is_told);
        CPPUNIT_ASSERT(next.try_take({mib, 0}, now_) == grant::pending);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, end_those_that_were_told());
        CPPUNIT_ASSERT(next.try_take({mib, 0}, now_) == grant::granted);
    }

    void tells_no_more_holders_to_end_than_needed()
    {
        for (int count = 0; count < 7; ++count)
            add_client(activity::receiving, {mib, 1});
        now_ += seconds(2);
        auto next = account_->open(activity::receiving, now_);
        for (int asked = 0; asked < 5; ++asked)
            CPPUNIT_ASSERT(
                next.try_take({100 * kib, 0}, now_) == grant::pending);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, account_->evictions());
    }

    void tells_a_holder_again_that_went_on()
    {
        client& kept = add_client(activity::idle, {7 * mib, 1});
        auto next = account_->open(activity::receiving, now_);
        CPPUNIT_ASSERT(next.try_take({mib, 0}, now_) == grant::pending);
        CPPUNIT_ASSERT(std::exchange(kept.is_told, false));
        // Its next request came in the meantime.
        kept.held->set_activity(activity::receiving, now_);
        kept.held->set_activity(activity::idle, now_);
        CPPUNIT_ASSERT(next.try_take({mib, 0}, now_) == grant::pending);
        CPPUNIT_ASSERT(kept.is_told);
    }

    // One that took bytes after it was told to end stays, so that what it holds
    // does not come free.
    void a_slow_reader_that_goes_on_keeps_nobody_waiting()
    {
        client& reader = add_client(activity::sending, {7 * mib, 1});
        now_ += seconds(1);
        auto next = account_->open(activity::serving, now_);
        CPPUNIT_ASSERT(next.try_take({mib, 0}, now_) == grant::pending);
        CPPUNIT_ASSERT(reader.is_told);
        reader.held->set_activity(activity::sending, now_);
        CPPUNIT_ASSERT(next.try_take({mib, 0}, now_) == grant::refused);
    }

    // A connection that has sent nothing yet is not the one that waits for
    // longest.
    void a_new_holder_waits_since_it_was_opened()
    {
        client& older = add_client(activity::idle, {4 * mib, 1});
        now_ += seconds(1);
        client& newer = add_client(activity::idle, {3 * mib, 1});
        auto next = account_->open(activity::receiving, now_);
        CPPUNIT_ASSERT(next.try_take({mib, 0}, now_) == grant::pending);
        CPPUNIT_ASSERT(older.is_told);
        CPPUNIT_ASSERT(!newer.is_told);
    }

    void moves_what_another_holder_has()
    {
        auto attempt = account_->open(activity::serving, now_);
        CPPUNIT_ASSERT(attempt.try_take({mib, 1}, now_) == grant::granted);
        auto connection = account_->open(activity::serving, now_);
        CPPUNIT_ASSERT(connection.try_take({kib, 1}, now_) == grant::granted);
        connection.absorb(std::move(attempt));
        CPPUNIT_ASSERT(connection.held() == (amounts{mib + kib, 2}));
        CPPUNIT_ASSERT(account_->used() == (amounts{mib + kib, 2}));
    }

    // Bodies of legal size that stop just short of their end.
    void many_stalled_bodies_leave_room_for_others()
    {
        constexpr std::size_t block = 256 * kib;
        for (int count = 0; count < 40; ++count) {
            client& added = add_client(activity::receiving, {kib, 1});
            for (std::size_t sent = 0; sent < 4 * mib; sent += block) {
                added.held->set_activity(activity::receiving, now_);
                if (take(*added.held, block) != grant::granted)
                    break;
            }
            if (added.held && added.held->held().bytes < 4 * mib)
                added.held.reset();
            now_ += milliseconds(100);
        }
        CPPUNIT_ASSERT(account_->used().bytes <= 8 * mib);
        auto ordinary = account_->open(activity::receiving, now_);
        CPPUNIT_ASSERT(
            ordinary.try_take({64 * kib, 1}, now_) == grant::granted);
        now_ += seconds(2);
        auto large = account_->open(activity::receiving, now_);
        for (std::size_t sent = 0; sent < 4 * mib; sent += block)
            CPPUNIT_ASSERT(take(large, block) == grant::granted);
    }

    void slow_readers_leave_room_for_others()
    {
        for (int count = 0; count < 7; ++count)
            add_client(activity::sending, {mib, 2});
        auto next = account_->open(activity::serving, now_);
        CPPUNIT_ASSERT(take(next, mib) == grant::refused);
        now_ += seconds(1);
        CPPUNIT_ASSERT(take(next, mib) == grant::granted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, account_->evictions());
    }

    void silent_connections_leave_room_for_others()
    {
        for (int count = 0; count < 100; ++count) {
            add_client(activity::idle, {24 * kib, 1});
            now_ += milliseconds(1);
        }
        auto next = account_->open(activity::idle, now_);
        CPPUNIT_ASSERT(next.try_take({24 * kib, 1}, now_) == grant::pending);
        CPPUNIT_ASSERT(clients_.front().is_told);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, end_those_that_were_told());
        CPPUNIT_ASSERT(next.try_take({24 * kib, 1}, now_) == grant::granted);
    }

    void derives_its_bounds_from_the_process()
    {
        const auto derived = account_limits::for_process(88'000'000, 4100);
        CPPUNIT_ASSERT(derived.total == (amounts{44'000'000, 3075}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{5'500'000}, derived.reserved_bytes);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{22'000'000}, derived.largest_body_bytes());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(client_account_test);

} // namespace
