#include <godwit/claims/ledger.hpp>
#include <godwit/core/random.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace godwit;
using namespace godwit::claims;

namespace {

claim_key key(int number)
{
    return *claim_key::create(
        core::organisation_name("krajevnik"),
        core::idempotency_key("key-" + std::to_string(number)));
}

const auto request = request_fingerprint::of("POST", "/sign", "body");
const claim_holder holder{
    core::host_name("entry-1"), core::incarnation_id("a1"), "127.0.0.1:9"};

claim_entry claim(int number)
{
    return {key(number), request, holder, {7, 1}};
}

class record_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(record_test);
    CPPUNIT_TEST(test_round_trip);
    CPPUNIT_TEST(test_anything_else_is_refused);
    CPPUNIT_TEST(test_bounds);
    CPPUNIT_TEST(test_keys);
    CPPUNIT_TEST_SUITE_END();

    void test_round_trip()
    {
        const std::vector<record_entry> entries{
            claim(1),
            release_entry{key(2), {UINT64_MAX, 3}},
            finished_entry{
                key(3),
                {9, 0},
                request,
                holder,
                core::outcome::completed,
                UINT64_MAX}};
        const auto text = encode_record(entries);
        CPPUNIT_ASSERT(text);
        CPPUNIT_ASSERT(decode_record(*text) == entries);
    }

    void test_anything_else_is_refused()
    {
        const auto text = *encode_record({claim(1), claim(2)});
        // Every truncation and every changed byte either reads as something
        // that is written exactly so, or is refused.
        core::random random(1);
        for (std::size_t at = 0; at < text.size(); ++at) {
            CPPUNIT_ASSERT(!decode_record(text.substr(0, at)));
            auto changed = text;
            changed[at] = static_cast<char>(random.below(256));
            const auto read = decode_record(changed);
            CPPUNIT_ASSERT(!read || encode_record(*read) == changed);
        }
        for (const auto* bad :
             {"",
              "[]",
              "{}",
              R"({"version":2,"holders":[],"entries":[]})",
              R"({"version":1,"holders":[],"entries":[],"more":1})",
              R"({"version":1, "holders":[],"entries":[]})",
              R"({"version":1,"holders":[["a","b"]],"entries":[]})",
              R"({"version":1,"holders":[],"entries":[["steal"]]})",
              R"({"version":1,"holders":[],"entries":[[[[[[]]]]]]})"}) {
            const auto read = decode_record(bad);
            CPPUNIT_ASSERT_MESSAGE(bad, !read);
            CPPUNIT_ASSERT(read.error().kind() == core::error_kind::protocol);
        }
    }

    void test_bounds()
    {
        std::vector<record_entry> entries;
        while (encode_record(entries))
            entries.emplace_back(claim(static_cast<int>(entries.size())));
        CPPUNIT_ASSERT(entries.size() > 400);
        entries.pop_back();
        CPPUNIT_ASSERT(encode_record(entries)->size() <= record_size_limit);
        CPPUNIT_ASSERT(!decode_record(std::string(record_size_limit + 1, ' ')));
        auto bad = claim(1);
        bad.holder.peer_address = "a\"b";
        CPPUNIT_ASSERT(!encode_record({bad}));
    }

    void test_keys()
    {
        const core::organisation_name organisation("krajevnik");
        CPPUNIT_ASSERT(!claim_key::create({}, core::idempotency_key("a")));
        CPPUNIT_ASSERT(!claim_key::create(organisation, {}));
        CPPUNIT_ASSERT(!claim_key::create(
            organisation,
            core::idempotency_key(
                std::string(idempotency_key_limit + 1, 'a'))));
        CPPUNIT_ASSERT(key(1) != key(2));
        CPPUNIT_ASSERT(claim_key::parse(key(1).to_string()) == key(1));
        CPPUNIT_ASSERT(
            request_fingerprint::of("a", "bc", "") !=
            request_fingerprint::of("ab", "c", ""));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(record_test);

/// The ledger's bound; the rest is proved by the faults' tests.
class ledger_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ledger_test);
    CPPUNIT_TEST(test_full_ledger_never_says_free);
    CPPUNIT_TEST(test_bad_record_is_skipped_and_counted);
    CPPUNIT_TEST_SUITE_END();

    ledger_settings settings()
    {
        return {std::chrono::seconds(60), std::chrono::seconds(10), 2};
    }

    void test_full_ledger_never_says_free()
    {
        auto claims = *ledger::create(settings());
        const log_record full{
            0, log_time(1000), *encode_record({claim(1), claim(2), claim(3)})};
        const auto changes = claims.fold(0, {full}, log_time(0));
        CPPUNIT_ASSERT(changes[1].effect == claim_effect::holds);
        CPPUNIT_ASSERT(changes[2].effect == claim_effect::no_room);
        const auto state = [&](int number, long time) {
            return claims.find(key(number), request, log_time(time));
        };
        CPPUNIT_ASSERT(std::holds_alternative<key_held>(state(1, 1000)));
        CPPUNIT_ASSERT(std::holds_alternative<ledger_full>(state(3, 1000)));
        // After a release there is room, but the third key's claim is lost.
        const log_record released{
            1, log_time(2000), *encode_record({release_entry{key(1), {0, 0}}})};
        claims.fold(0, {released}, log_time(0));
        CPPUNIT_ASSERT(std::holds_alternative<ledger_full>(state(3, 2000)));
        CPPUNIT_ASSERT(std::holds_alternative<key_free>(state(3, 52'000)));
    }

    void test_bad_record_is_skipped_and_counted()
    {
        auto claims = *ledger::create(settings());
        const log_record bad{0, log_time(1000), "{"};
        const log_record good{1, log_time(1000), *encode_record({claim(1)})};
        claims.fold(0, {bad, good, good}, log_time(0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, claims.bad_records());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, claims.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, claims.next());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ledger_test);

} // namespace
