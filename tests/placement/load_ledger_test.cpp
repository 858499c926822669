#include "samples.hpp"

#include <godwit/core/random.hpp>
#include <godwit/placement/load_ledger.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>
#include <vector>

namespace {

using namespace godwit::placement;
using namespace godwit::placement::test;
namespace core = godwit::core;

// The ledger keeps sums as words come; this one adds up all words at each
// look.
class plain_ledger
{
public:
    void says(
        const std::string& who,
        bool is_whole,
        const std::vector<server_work>& word,
        core::time_point now)
    {
        told& kept = words_[who];
        if (is_whole)
            kept.work.clear();
        kept.heard_at = now;
        for (const server_work& one : word)
            kept.work[one.server] = one.work;
    }

    void forget(const std::string& who) { words_.erase(who); }

    work_size at(const server_id& server, core::time_point now) const
    {
        work_size sum;
        for (const auto& [who, word] : words_) {
            const auto found = word.work.find(server);
            if (found != word.work.end() &&
                now - word.heard_at <= load_ledger::report_lifetime)
                sum += found->second;
        }
        return sum;
    }

private:
    struct told
    {
        std::map<server_id, work_size> work;
        core::time_point heard_at;
    };

    std::map<std::string, told> words_;
};

class load_ledger_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_ledger_test);
    CPPUNIT_TEST(test_kept_sums_are_the_sums_of_all_words);
    CPPUNIT_TEST(test_changes_after_a_silence_complete_what_was_told);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int servers = 12;

    static server_id server(std::uint64_t number)
    {
        return server_id("i-" + std::to_string(number));
    }

    static std::vector<server_work> some_word(core::random& random)
    {
        std::vector<server_work> word;
        for (int each = 0; each < servers; ++each) {
            if (random.below(3) != 0)
                continue;
            work_size work;
            // Some of it has ended.
            if (random.below(4) != 0)
                work = work_size{
                    1,
                    random.below(5000),
                    random.below(3000),
                    random.below(100),
                    {1, static_cast<std::uint32_t>(random.below(200))}};
            word.push_back({server(static_cast<std::uint64_t>(each)), work});
        }
        return word;
    }

    // Words come, change, lapse and are given up in any order.
    void test_kept_sums_are_the_sums_of_all_words()
    {
        core::random random(11);
        load_ledger ledger;
        plain_ledger plain;
        int now_ms = 0;
        for (int step = 0; step < 3000; ++step) {
            now_ms += static_cast<int>(random.below(400));
            const auto now = at_ms(now_ms);
            const std::uint64_t who = random.below(6);
            const std::string name = "h-" + std::to_string(who);
            const auto word = some_word(random);
            if (who < 3) {
                ledger.update_from_neighbour(core::host_name(name), word, now);
                plain.says(name, true, word, now);
            } else {
                const bool is_whole = random.below(3) == 0;
                ledger.update_from_group(
                    host_group(name),
                    is_whole ? report_extent::full : report_extent::changes,
                    word,
                    now);
                plain.says(name, is_whole, word, now);
            }
            if (random.below(50) == 0) {
                ledger.retain_neighbours({core::host_name("h-1")});
                plain.forget("h-0");
                plain.forget("h-2");
            }
            // Some words lapse before they are looked at.
            if (random.below(20) == 0)
                now_ms += 3500;
            for (int each = 0; each < servers; ++each) {
                const auto id = server(static_cast<std::uint64_t>(each));
                CPPUNIT_ASSERT(
                    ledger.at(id, at_ms(now_ms)) ==
                    plain.at(id, at_ms(now_ms)));
            }
        }
    }

    void test_changes_after_a_silence_complete_what_was_told()
    {
        load_ledger ledger;
        const host_group west("west/0");
        ledger.update_from_group(
            west, report_extent::full, {{server(1), {2, 6000}}}, at_ms(0));
        CPPUNIT_ASSERT(ledger.at(server(1), at_ms(3001)) == work_size());
        ledger.update_from_group(
            west,
            report_extent::changes,
            {{server(2), {1, 3000}}},
            at_ms(3500));
        CPPUNIT_ASSERT(
            ledger.at(server(1), at_ms(3500)) == (work_size{2, 6000}));
        CPPUNIT_ASSERT(
            ledger.at(server(2), at_ms(3500)) == (work_size{1, 3000}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_ledger_test);

} // namespace
