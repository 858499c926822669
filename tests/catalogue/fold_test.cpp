#include "catalogue_sample.hpp"

#include <godwit/catalogue/tombstone_drop.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace godwit::catalogue;
using namespace godwit::catalogue::test;

const entry_key survey{entry_kind::organisation, "survey"};

class fold_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fold_test);
    CPPUNIT_TEST(test_accepts_whole);
    CPPUNIT_TEST(test_refuses_whole);
    CPPUNIT_TEST(test_conflict_names_current_version);
    CPPUNIT_TEST(test_only_the_owner_changes_an_entry);
    CPPUNIT_TEST(test_owner_transfers);
    CPPUNIT_TEST(test_repeat_is_recognised);
    CPPUNIT_TEST(test_change_id_with_other_content);
    CPPUNIT_TEST(test_repeat_window_is_bounded);
    CPPUNIT_TEST(test_corrupt_records_are_refused_and_skipped);
    CPPUNIT_TEST(test_class_in_use_is_not_deleted);
    CPPUNIT_TEST(test_floors_add_up_to_one_pool);
    CPPUNIT_TEST(test_token_has_one_organisation);
    CPPUNIT_TEST(test_token_moves_within_a_change_set);
    CPPUNIT_TEST(test_tombstone_until_dropped);
    CPPUNIT_TEST(test_hash_follows_the_content);
    CPPUNIT_TEST(test_snapshot_stays_as_it_was);
    CPPUNIT_TEST_SUITE_END();

    state_pointer state_ = state::empty();

    void seed()
    {
        const auto seeded = fold_changes(
            state_,
            make_change_set(
                "seed",
                {make_class("interactive"), make_organisation("survey")}));
        CPPUNIT_ASSERT(seeded.kind == verdict_kind::accepted);
    }

    verdict change_survey(const std::string& id, std::uint64_t expected)
    {
        return fold_changes(
            state_,
            make_change_set(id, {make_organisation("survey", expected, 20)}));
    }

    void test_accepts_whole()
    {
        seed();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, state_->next_offset());
        const auto found = state_->find_organisation(
            godwit::core::organisation_name("survey"));
        CPPUNIT_ASSERT(found);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, found->version);
    }

    void test_refuses_whole()
    {
        // The second change names a class that does not exist.
        const auto decision = fold_changes(
            state_,
            make_change_set(
                "bad", {make_class("report"), make_organisation("survey")}));
        CPPUNIT_ASSERT(decision.kind == verdict_kind::refused);
        CPPUNIT_ASSERT(
            decision.refused->reason == refusal_reason::invalid_reference);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, state_->classes().size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, state_->next_offset());
    }

    void test_conflict_names_current_version()
    {
        seed();
        CPPUNIT_ASSERT(change_survey("a", 1).kind == verdict_kind::accepted);
        const auto loser = change_survey("b", 1);
        CPPUNIT_ASSERT(loser.kind == verdict_kind::refused);
        CPPUNIT_ASSERT(loser.refused->reason == refusal_reason::conflict);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{2}, loser.refused->current_version.value());
    }

    void test_only_the_owner_changes_an_entry()
    {
        seed();
        auto other =
            make_change_set("o", {make_organisation("survey", 1)}, "bojan");
        CPPUNIT_ASSERT(
            fold_changes(state_, other).refused->reason ==
            refusal_reason::not_owner);
        auto foreign =
            make_change_set("n", {make_organisation("clerks")}, "bojan");
        CPPUNIT_ASSERT(
            fold_changes(state_, foreign).refused->reason ==
            refusal_reason::not_owner);
    }

    void test_owner_transfers()
    {
        seed();
        auto step = make_organisation("survey", 1);
        std::get<organisation>(*step.value).owner =
            godwit::core::operator_name("bojan");
        CPPUNIT_ASSERT(
            fold_changes(state_, make_change_set("t", {step})).kind ==
            verdict_kind::accepted);
        step.expected_version = 2;
        CPPUNIT_ASSERT(
            fold_changes(state_, make_change_set("u", {step}, "bojan")).kind ==
            verdict_kind::accepted);
        CPPUNIT_ASSERT(
            change_survey("v", 3).refused->reason == refusal_reason::not_owner);
    }

    void test_repeat_is_recognised()
    {
        seed();
        change_survey("a", 1);
        const auto hash = state_->hash();
        const auto again = change_survey("a", 1);
        CPPUNIT_ASSERT(again.kind == verdict_kind::repeated);
        CPPUNIT_ASSERT(again.first_accepted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, again.first_offset);
        CPPUNIT_ASSERT_EQUAL(hash, state_->hash());
        // A refused one stays refused, also when it would now be valid.
        const auto early = make_change_set("e", {make_organisation("x", 9)});
        CPPUNIT_ASSERT(fold_changes(state_, early).refused);
        const auto repeat = fold_changes(state_, early);
        CPPUNIT_ASSERT(repeat.kind == verdict_kind::repeated);
        CPPUNIT_ASSERT(!repeat.first_accepted);
    }

    void test_change_id_with_other_content()
    {
        seed();
        change_survey("a", 1);
        const auto other = fold_changes(
            state_, make_change_set("a", {make_organisation("clerks")}));
        CPPUNIT_ASSERT(
            other.refused->reason == refusal_reason::change_id_reused);
    }

    void test_repeat_window_is_bounded()
    {
        seed();
        for (std::uint64_t n = 0; n < 2 * repeat_window_records; ++n)
            fold_data(state_, "noise");
        CPPUNIT_ASSERT(state_->window().decisions().empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, state_->window().hash());
        // Even then the expected version keeps it from acting twice.
        const auto late = fold_changes(
            state_,
            make_change_set(
                "seed",
                {make_class("interactive"), make_organisation("survey")}));
        CPPUNIT_ASSERT(late.refused->reason == refusal_reason::conflict);
    }

    void test_corrupt_records_are_refused_and_skipped()
    {
        const std::string whole =
            data_of(make_change_set("c", {make_class("interactive")}));
        std::vector<std::string> corrupt{
            "",
            "null",
            "[]",
            "{}",
            std::string(100, '['),
            std::string("\xff\xfe\x00", 3),
            std::string(maximum_record_bytes + 1, 'x'),
            R"({"record":"later_release"})",
            R"({"record":"tombstone_drop","before_offset":-1})"};
        for (std::size_t length = 1; length < whole.size(); ++length)
            corrupt.push_back(whole.substr(0, length));
        const auto hash = state_->hash();
        for (const std::string& data : corrupt) {
            const auto decision = fold_data(state_, data);
            CPPUNIT_ASSERT(decision.kind == verdict_kind::refused);
            CPPUNIT_ASSERT(
                decision.refused->reason == refusal_reason::malformed);
            CPPUNIT_ASSERT(!decision.refused->detail.remedy().empty());
        }
        CPPUNIT_ASSERT_EQUAL(hash, state_->hash());
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{corrupt.size()}, state_->next_offset());
        CPPUNIT_ASSERT(fold_data(state_, whole).kind == verdict_kind::accepted);
    }

    void test_class_in_use_is_not_deleted()
    {
        seed();
        const entry_key interactive{entry_kind::request_class, "interactive"};
        auto deletion = make_deletion(interactive, 1);
        CPPUNIT_ASSERT(
            fold_changes(state_, make_change_set("d", {deletion}))
                .refused->reason == refusal_reason::invalid_reference);
        CPPUNIT_ASSERT(
            fold_changes(
                state_,
                make_change_set("e", {deletion, make_deletion(survey, 1)}))
                .kind == verdict_kind::accepted);
        CPPUNIT_ASSERT(state_->entries().empty());
    }

    void test_floors_add_up_to_one_pool()
    {
        auto first = make_class("a");
        auto second = make_class("b");
        std::get<request_class>(*first.value).memory_floor_per_mille = 600;
        std::get<request_class>(*second.value).memory_floor_per_mille = 500;
        CPPUNIT_ASSERT(
            fold_changes(state_, make_change_set("f", {first, second}))
                .refused->reason == refusal_reason::invalid_reference);
    }

    change with_token(change step, char digit)
    {
        if (digit != ' ') {
            std::get<organisation>(*step.value)
                .token_hashes.emplace_back(64, digit);
        }
        return step;
    }

    void test_token_has_one_organisation()
    {
        seed();
        CPPUNIT_ASSERT(
            fold_changes(
                state_,
                make_change_set("1", {with_token(make_organisation("a"), '1')}))
                .kind == verdict_kind::accepted);
        CPPUNIT_ASSERT(
            fold_changes(
                state_,
                make_change_set("2", {with_token(make_organisation("b"), '1')}))
                .refused->reason == refusal_reason::invalid_reference);
        const auto found =
            state_->find_organisation_by_token(std::string(64, '1'));
        CPPUNIT_ASSERT(found && found->name.value() == "a");
    }

    void test_token_moves_within_a_change_set()
    {
        seed();
        fold_changes(
            state_,
            make_change_set("1", {with_token(make_organisation("b"), '1')}));
        CPPUNIT_ASSERT(
            fold_changes(
                state_,
                make_change_set(
                    "2",
                    {with_token(make_organisation("a"), '1'),
                     with_token(make_organisation("b", 2), ' ')}))
                .kind == verdict_kind::accepted);
        const auto found =
            state_->find_organisation_by_token(std::string(64, '1'));
        CPPUNIT_ASSERT(found && found->name.value() == "a");
    }

    void test_tombstone_until_dropped()
    {
        seed();
        fold_changes(state_, make_change_set("d", {make_deletion(survey, 1)}));
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{2}, state_->find_tombstone(survey)->version);
        fold_data(state_, serialise_record(tombstone_drop{1}));
        CPPUNIT_ASSERT(state_->find_tombstone(survey));
        fold_data(state_, serialise_record(tombstone_drop{2}));
        CPPUNIT_ASSERT(!state_->find_tombstone(survey));
        // A version of the deleted entry never comes back.
        fold_changes(
            state_, make_change_set("n", {make_organisation("survey")}));
        CPPUNIT_ASSERT(
            change_survey("o", 1).refused->reason == refusal_reason::conflict);
    }

    void test_hash_follows_the_content()
    {
        seed();
        const auto before = state_->hash();
        change_survey("a", 1);
        CPPUNIT_ASSERT(before != state_->hash());
        state_pointer other = state::empty();
        fold_changes(
            other,
            make_change_set(
                "seed",
                {make_class("interactive"), make_organisation("survey")}));
        CPPUNIT_ASSERT_EQUAL(before, other->hash());
    }

    void test_snapshot_stays_as_it_was()
    {
        seed();
        const auto kept = state_;
        const auto hash = kept->hash();
        change_survey("a", 1);
        CPPUNIT_ASSERT_EQUAL(hash, kept->hash());
        CPPUNIT_ASSERT_EQUAL(
            std::uint32_t{10},
            kept->find_organisation(godwit::core::organisation_name("survey"))
                ->limits.concurrency);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fold_test);

} // namespace
