#include "catalogue_sample.hpp"

#include <godwit/catalogue/follower.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <variant>

using namespace godwit;
using namespace godwit::catalogue;

namespace {

// A peer's answer that comes before the log's own answer.
class log_race_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(log_race_test);
    CPPUNIT_TEST(test_log_is_read_on_after_a_peer_was_faster);
    CPPUNIT_TEST_SUITE_END();

    static bool reads(const std::vector<follower_action>& actions)
    {
        return std::any_of(
            actions.begin(), actions.end(), [](const auto& action) {
                return std::holds_alternative<read_log>(action);
            });
    }

    void test_log_is_read_on_after_a_peer_was_faster()
    {
        const core::time_point now{};
        const record first{
            0,
            1,
            test::data_of(
                test::make_change_set("c", {test::make_class("interactive")}))};
        const auto hash = fold(state::empty(), first).next->hash();
        follower_settings settings;
        settings.self = core::host_name("a");
        follower one = follower::create(settings).value();
        CPPUNIT_ASSERT(reads(one.handle(tick{1}, now)));
        const core::host_name peer("b");
        (void)one.handle(peer_digest{peer, 1, hash, std::nullopt}, now);
        (void)one.handle(peer_records{peer, {first}, hash}, now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, one.content()->next_offset());
        // The log's answer brings nothing new, and yet the next read must
        // wait there for the next change.
        CPPUNIT_ASSERT(reads(one.handle(log_records{0, 0, 1, {first}}, now)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_race_test);

} // namespace
