#include <godwit/fakes/generation_text.hpp>
#include <godwit/load/answer_checker.hpp>
#include <godwit/load/effect_check.hpp>
#include <godwit/load/problem_report.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using namespace godwit::load;
using godwit::fakes::token_text;

constexpr std::uint64_t max_tokens = 100;
const std::string prompt = "mine length=5";
const std::string other = "other length=5";

/// The tokens of a prompt from one position up to another.
std::string tokens(const std::string& of, std::uint64_t from, std::uint64_t to)
{
    std::string text;
    for (std::uint64_t at = from; at < to; ++at)
        text += token_text(of, at);
    return text;
}

class answer_checker_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(answer_checker_test);
    CPPUNIT_TEST(test_right_answer_split_at_every_byte);
    CPPUNIT_TEST(test_names_each_fault);
    CPPUNIT_TEST(test_max_tokens_end_an_answer);
    CPPUNIT_TEST(test_effects);
    CPPUNIT_TEST(test_problems);
    CPPUNIT_TEST_SUITE_END();

    static answer_fault fault_of(const std::string& text)
    {
        answer_checker checker(prompt, max_tokens);
        checker.push(text);
        checker.finish();
        return checker.fault();
    }

    void test_right_answer_split_at_every_byte()
    {
        const std::string whole = tokens(prompt, 0, 5);
        for (std::size_t split = 0; split <= whole.size(); ++split) {
            answer_checker checker(prompt, max_tokens);
            checker.push(whole.substr(0, split));
            checker.push(whole.substr(split));
            checker.finish();
            CPPUNIT_ASSERT(checker.fault() == answer_fault::none);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, checker.tokens());
        }
    }

    void test_names_each_fault()
    {
        CPPUNIT_ASSERT(
            fault_of(tokens(prompt, 0, 3) + tokens(prompt, 2, 5)) ==
            answer_fault::doubled);
        CPPUNIT_ASSERT(
            fault_of(tokens(prompt, 0, 2) + tokens(prompt, 3, 5)) ==
            answer_fault::lost);
        CPPUNIT_ASSERT(fault_of(tokens(prompt, 1, 5)) == answer_fault::lost);
        CPPUNIT_ASSERT(fault_of(tokens(other, 0, 5)) == answer_fault::crossed);
        CPPUNIT_ASSERT(
            fault_of(tokens(prompt, 0, 2) + tokens(other, 2, 5)) ==
            answer_fault::spliced);
        CPPUNIT_ASSERT(fault_of(tokens(prompt, 0, 4)) == answer_fault::cut);
        CPPUNIT_ASSERT(fault_of("") == answer_fault::cut);
        CPPUNIT_ASSERT(fault_of(tokens(prompt, 0, 6)) == answer_fault::overrun);
        CPPUNIT_ASSERT(fault_of("hello ") == answer_fault::wrong);
        CPPUNIT_ASSERT(fault_of(" ") == answer_fault::wrong);
        CPPUNIT_ASSERT(
            fault_of(tokens(prompt, 0, 5) + "w") == answer_fault::wrong);
        CPPUNIT_ASSERT(fault_of(std::string(1000, 'w')) == answer_fault::wrong);
    }

    void test_max_tokens_end_an_answer()
    {
        answer_checker checker(prompt, 3);
        checker.push(tokens(prompt, 0, 3));
        checker.finish();
        CPPUNIT_ASSERT(checker.fault() == answer_fault::none);
    }

    static answer_fault
    fault_for(request_outcome outcome, std::uint64_t effects)
    {
        planned_request planned;
        planned.kind = request_class::booking;
        planned.key = "k";
        request_record record;
        record.outcome = outcome;
        std::vector<request_record> records{record};
        effect_counts counts;
        if (effects > 0)
            counts["k"] = effects;
        check_effects({planned}, counts, records);
        return records.front().fault;
    }

    void test_effects()
    {
        using enum request_outcome;
        CPPUNIT_ASSERT(fault_for(completed, 1) == answer_fault::none);
        CPPUNIT_ASSERT(fault_for(not_run, 0) == answer_fault::none);
        CPPUNIT_ASSERT(fault_for(unknown, 0) == answer_fault::none);
        CPPUNIT_ASSERT(fault_for(unknown, 1) == answer_fault::none);
        CPPUNIT_ASSERT(fault_for(unknown, 2) == answer_fault::twice);
        CPPUNIT_ASSERT(fault_for(completed, 2) == answer_fault::twice);
        CPPUNIT_ASSERT(fault_for(not_run, 1) == answer_fault::denied);
        CPPUNIT_ASSERT(fault_for(completed, 0) == answer_fault::vanished);
    }

    void test_problems()
    {
        const auto read = problem_report::read(
            "{\"outcome\":\"not_run\",\"reason\":\"queue_full\"}");
        CPPUNIT_ASSERT(read.outcome == request_outcome::not_run);
        CPPUNIT_ASSERT_EQUAL(std::string("queue_full"), read.reason);
        CPPUNIT_ASSERT(
            problem_report::read("{\"outcome\":\"completed\"}").outcome ==
            request_outcome::rejected);
        CPPUNIT_ASSERT(
            problem_report::read("<html>").outcome ==
            request_outcome::rejected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(answer_checker_test);

} // namespace
