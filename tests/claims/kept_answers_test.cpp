#include <godwit/claims/kept_answers.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace godwit;
using namespace godwit::claims;

namespace {

const auto request = request_fingerprint::of("POST", "/sign", "body");
const auto other_request = request_fingerprint::of("POST", "/sign", "other");
constexpr core::time_point start;

claim_key key(std::uint64_t number)
{
    return *claim_key::create(
        core::organisation_name("predavka"),
        core::idempotency_key(std::to_string(number)));
}

kept_answer answer(std::size_t size)
{
    return {200, "text/plain", std::string(size, 'a')};
}

kept_answers store(kept_answers_settings settings)
{
    auto created = kept_answers::create(settings);
    CPPUNIT_ASSERT(created);
    return std::move(created).value();
}

class kept_answers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(kept_answers_test);
    CPPUNIT_TEST(test_life_of_a_run);
    CPPUNIT_TEST(test_evicted_is_never_not_started);
    CPPUNIT_TEST(test_bounds);
    CPPUNIT_TEST_SUITE_END();

    template<class State>
    bool is(const kept_answers& kept, std::uint64_t number)
    {
        return std::holds_alternative<State>(
            kept.find(key(number), request, {number, 0}));
    }

    bool run(kept_answers& kept, std::uint64_t number)
    {
        return kept
            .begin(key(number), request, {number, 0}, core::request_id("r"))
            .has_value();
    }

    void test_life_of_a_run()
    {
        auto kept = store({});
        CPPUNIT_ASSERT(is<run_not_started>(kept, 1));
        CPPUNIT_ASSERT(run(kept, 1));
        CPPUNIT_ASSERT(!run(kept, 1));
        CPPUNIT_ASSERT(is<run_attach>(kept, 1));
        CPPUNIT_ASSERT(std::holds_alternative<run_key_reused>(
            kept.find(key(1), other_request, {1, 0})));
        CPPUNIT_ASSERT(std::holds_alternative<run_not_started>(
            kept.find(key(1), request, {2, 0})));
        kept.abandon(key(1));
        CPPUNIT_ASSERT(is<run_not_started>(kept, 1));
        CPPUNIT_ASSERT(run(kept, 1));
        kept.finish(key(1), answer(10), start);
        CPPUNIT_ASSERT(is<run_kept>(kept, 1));
        CPPUNIT_ASSERT(!run(kept, 1));
        kept.expire(start + kept_answers_settings{}.lifetime);
        CPPUNIT_ASSERT(is<run_evicted>(kept, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, kept.bytes());
        CPPUNIT_ASSERT(run(kept, 2));
        kept.finish_without_answer(key(2));
        CPPUNIT_ASSERT(is<run_evicted>(kept, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, kept.runs());
    }

    void test_evicted_is_never_not_started()
    {
        auto kept = store({3, 100'000, 100, std::chrono::minutes(1)});
        CPPUNIT_ASSERT(
            !kept_answers::create({0, 1, 1, std::chrono::minutes(1)}));
        CPPUNIT_ASSERT(kept.runs() == 0);
        for (std::uint64_t number = 1; number <= 10; ++number) {
            CPPUNIT_ASSERT(run(kept, number));
            kept.finish(key(number), answer(1), start);
            for (std::uint64_t earlier = 1; earlier <= number; ++earlier)
                CPPUNIT_ASSERT(!is<run_not_started>(kept, earlier));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, kept.answers());
        CPPUNIT_ASSERT(is<run_not_started>(kept, 11));
    }

    void test_bounds()
    {
        kept_answers_settings settings;
        settings.byte_limit = 8000;
        settings.run_limit = 2;
        auto kept = store(settings);
        CPPUNIT_ASSERT(run(kept, 1));
        CPPUNIT_ASSERT(run(kept, 2));
        CPPUNIT_ASSERT(!run(kept, 3));
        kept.finish(key(1), answer(1000), start);
        CPPUNIT_ASSERT(is<run_evicted>(kept, 1));
        for (std::uint64_t number = 3; number < 40; ++number) {
            CPPUNIT_ASSERT(run(kept, number));
            kept.finish(key(number), answer(500), start);
            CPPUNIT_ASSERT(kept.bytes() <= settings.byte_limit);
            CPPUNIT_ASSERT(is<run_kept>(kept, number));
        }
        CPPUNIT_ASSERT(is<run_attach>(kept, 2));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(kept_answers_test);

} // namespace
