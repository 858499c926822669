// Guards against two hosts that take different server lists for equal ones.

#include "samples.hpp"

#include <godwit/placement/server_directory.hpp>
#include <godwit/placement/server_list_digest.hpp>

#include <godwit/core/random.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace {

using namespace godwit;
using namespace godwit::placement;
using namespace godwit::placement::test;

class server_list_digest_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_list_digest_test);
    CPPUNIT_TEST(test_the_order_does_not_matter);
    CPPUNIT_TEST(test_a_change_shows_in_its_bucket_only);
    CPPUNIT_TEST(test_the_digest_follows_random_changes);
    CPPUNIT_TEST_SUITE_END();

    void test_the_order_does_not_matter()
    {
        server_directory forwards;
        server_directory backwards;
        for (int number = 0; number < 300; ++number) {
            forwards.update(sample_server(number), at_ms(0));
            backwards.update(sample_server(299 - number), at_ms(0));
        }
        CPPUNIT_ASSERT(forwards.digest() == backwards.digest());
    }

    void test_a_change_shows_in_its_bucket_only()
    {
        server_directory left;
        server_directory right;
        for (int number = 0; number < 300; ++number) {
            left.update(sample_server(number), at_ms(0));
            right.update(sample_server(number), at_ms(0));
        }
        right.update(draining(sample_server(7)), at_ms(1));
        const auto differing = left.digest().differences(right.digest());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, differing.count());
        CPPUNIT_ASSERT(
            differing.test(server_list_digest::bucket_of(server_id("i-7"))));
        backend_server restarted = sample_server(9);
        restarted.start = {77};
        right.update(restarted, at_ms(2));
        CPPUNIT_ASSERT(
            left.digest()
                .differences(right.digest())
                .test(server_list_digest::bucket_of(server_id("i-9"))));
    }

    // Also guards the indexes of the directory against its records.
    void test_the_digest_follows_random_changes()
    {
        core::random random(17);
        server_directory directory;
        for (int step = 0; step < 4000; ++step) {
            const core::time_point now = at_ms(step * 100);
            backend_server server = sample_server(
                static_cast<int>(random.below(60)),
                "east",
                static_cast<std::uint64_t>(step) + 1);
            server.address =
                http::endpoint::parse(
                    "127.0.0.1:" + std::to_string(9000 + random.below(50)))
                    .value();
            server.start = {random.below(3)};
            if (random.below(3) == 0)
                server.state = server_state::draining;
            if (random.below(5) == 0)
                directory.remove(
                    server.id,
                    random.below(2) == 0 ? source_state::steady
                                         : source_state::recovering,
                    now);
            else
                directory.update(server, now);
            [[maybe_unused]] const auto expired = directory.expire(now);
            check(directory);
        }
    }

    static void check(const server_directory& directory)
    {
        server_list_digest expected;
        std::set<server_id> usable;
        std::size_t with_start = 0;
        for (const auto& id : directory.ids()) {
            with_start += directory.find(id)->start.is_known() ? 1 : 0;
            if (!directory.is_usable(id))
                continue;
            const backend_server& server = *directory.find(id);
            expected.toggle(id, server.start);
            usable.insert(id);
            bool is_found = false;
            for (const auto* other : directory.usable_at(server.address))
                is_found = is_found || other->id == id;
            CPPUNIT_ASSERT(is_found);
        }
        CPPUNIT_ASSERT(directory.digest() == expected);
        CPPUNIT_ASSERT_EQUAL(with_start, directory.count_with_start());
        std::set<server_id> listed;
        for (const auto* server : directory.usable(core::service_name("lm")))
            listed.insert(server->id);
        CPPUNIT_ASSERT(listed == usable);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_list_digest_test);

} // namespace
