#include <godwit/fakes/engine_model.hpp>
#include <godwit/fakes/generation_text.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace {

using namespace godwit::fakes;
using godwit::core::generation_id;
using godwit::core::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;

generation_order
order_of(const std::string& id, const std::string& prompt, int priority = 5)
{
    generation_order order;
    order.id = generation_id(id);
    order.model = "model";
    order.prompt = prompt;
    order.max_tokens = 100'000;
    order.priority = priority;
    return order;
}

time_point at(milliseconds moment)
{
    return time_point(moment);
}

/// Carries the model forward until nothing is left to do.
time_point run_out(engine_model& engine)
{
    time_point last{};
    while (const auto next = engine.next_step()) {
        last = *next;
        engine.advance(last);
    }
    return last;
}

class engine_model_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(engine_model_test);
    CPPUNIT_TEST(test_text_is_a_function_of_the_prompt);
    CPPUNIT_TEST(test_lengths_have_a_heavy_tail);
    CPPUNIT_TEST(test_generates_to_the_end);
    CPPUNIT_TEST(test_batch_slows_each_down);
    CPPUNIT_TEST(test_same_whatever_the_clock_ticks);
    CPPUNIT_TEST(test_full_memory_preempts_lowest_and_newest);
    CPPUNIT_TEST(test_preempted_goes_on_at_its_offset);
    CPPUNIT_TEST(test_lone_generation_may_exceed_memory);
    CPPUNIT_TEST(test_priority_goes_first);
    CPPUNIT_TEST(test_refusals);
    CPPUNIT_TEST(test_cancel_frees_memory);
    CPPUNIT_TEST(test_finished_are_kept_up_to_a_bound);
    CPPUNIT_TEST(test_load_lags);
    CPPUNIT_TEST(test_cached_prefix_starts_sooner);
    CPPUNIT_TEST(test_cache_events_have_gaps);
    CPPUNIT_TEST(test_fencing);
    CPPUNIT_TEST_SUITE_END();

    static engine_model make(std::uint64_t memory = 20'000)
    {
        engine_settings settings;
        settings.memory_tokens = memory;
        settings.batch = 4;
        settings.waiting_limit = 8;
        settings.finished_kept = 6;
        settings.cached_prefixes = 2;
        return engine_model::create(settings);
    }

    static std::uint64_t produced(engine_model& engine, const std::string& id)
    {
        return engine.find(generation_id(id)).value().produced;
    }

    void test_text_is_a_function_of_the_prompt()
    {
        CPPUNIT_ASSERT_EQUAL(token_text("a", 3), token_text("a", 3));
        CPPUNIT_ASSERT(token_text("a", 3) != token_text("b", 3));
        CPPUNIT_ASSERT(token_text("a", 3).ends_with("-3 "));
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{7}, generation_length("x length=7 y", 100));
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{5}, generation_length("x length=7 y", 5));
        CPPUNIT_ASSERT(finish_reason("length=7", 7) == "stop");
        CPPUNIT_ASSERT(finish_reason("length=7", 6) == "length");
    }

    void test_lengths_have_a_heavy_tail()
    {
        constexpr int draws = 10'000;
        int beyond_100 = 0;
        int beyond_1000 = 0;
        for (int draw = 0; draw < draws; ++draw) {
            const auto length =
                generation_length("prompt " + std::to_string(draw), 100'000);
            beyond_100 += length > 100 ? 1 : 0;
            beyond_1000 += length > 1000 ? 1 : 0;
        }
        // Of a Pareto tail of exponent 1.2 from 16 on: 11.1% and 0.7%.
        CPPUNIT_ASSERT(beyond_100 > 950 && beyond_100 < 1270);
        CPPUNIT_ASSERT(beyond_1000 > 40 && beyond_1000 < 105);
    }

    void test_generates_to_the_end()
    {
        engine_model engine = make();
        CPPUNIT_ASSERT(
            engine.start(order_of("a", "length=10"), at(seconds(1))) ==
            start_verdict::started);
        run_out(engine);
        const auto view = engine.find(generation_id("a")).value();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, view.produced);
        CPPUNIT_ASSERT(view.is_finished());
        CPPUNIT_ASSERT_EQUAL(std::string("stop"), view.finish_reason);
        CPPUNIT_ASSERT(engine.current_load() == engine_load{});
    }

    void test_batch_slows_each_down()
    {
        engine_model alone = make();
        CPPUNIT_ASSERT(
            alone.start(order_of("a", "length=100"), at({})) ==
            start_verdict::started);
        engine_model crowded = make();
        for (const char* id : {"a", "b", "c", "d"})
            CPPUNIT_ASSERT(
                crowded.start(order_of(id, "length=100"), at({})) ==
                start_verdict::started);
        const auto one = run_out(alone).time_since_epoch();
        const auto four = run_out(crowded).time_since_epoch();
        CPPUNIT_ASSERT(four > one + one / 20);
        CPPUNIT_ASSERT(four < 2 * one);
    }

    void test_same_whatever_the_clock_ticks()
    {
        engine_model fine = make(60);
        engine_model coarse = make(60);
        for (engine_model* engine : {&fine, &coarse}) {
            for (const char* id : {"a", "b", "c"})
                CPPUNIT_ASSERT(
                    engine->start(order_of(id, "length=40"), at({})) ==
                    start_verdict::started);
        }
        for (milliseconds now{0}; now < seconds(1); now += milliseconds(1))
            fine.advance(at(now));
        fine.advance(at(seconds(1)));
        coarse.advance(at(seconds(1)));
        for (const char* id : {"a", "b", "c"})
            CPPUNIT_ASSERT_EQUAL(produced(fine, id), produced(coarse, id));
        CPPUNIT_ASSERT(fine.current_load() == coarse.current_load());
    }

    void test_full_memory_preempts_lowest_and_newest()
    {
        engine_model engine = make(60);
        CPPUNIT_ASSERT(
            engine.start(order_of("low", "length=40", 1), at({})) ==
            start_verdict::started);
        for (const char* id : {"old", "new"})
            CPPUNIT_ASSERT(
                engine.start(order_of(id, "length=40", 5), at({})) ==
                start_verdict::started);
        while (engine.current_load().preemptions == 0)
            engine.advance(*engine.next_step());
        const auto preemptions = [&engine](const char* id) {
            return engine.find(generation_id(id)).value().preemptions;
        };
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, preemptions("low"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, preemptions("old"));
        while (engine.current_load().preemptions == 1)
            engine.advance(*engine.next_step());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, preemptions("new"));
        CPPUNIT_ASSERT(engine.current_load().memory_used <= 60);
    }

    void test_preempted_goes_on_at_its_offset()
    {
        engine_model engine = make();
        CPPUNIT_ASSERT(
            engine.start(order_of("a", "length=10"), at({})) ==
            start_verdict::started);
        engine.advance(at(milliseconds(100)));
        const auto before = produced(engine, "a");
        CPPUNIT_ASSERT(before > 0);
        engine.preempt_next();
        engine.advance(*engine.next_step());
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{1},
            engine.find(generation_id("a")).value().preemptions);
        CPPUNIT_ASSERT(produced(engine, "a") >= before);
        run_out(engine);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, produced(engine, "a"));
    }

    void test_lone_generation_may_exceed_memory()
    {
        engine_model engine = make(20);
        CPPUNIT_ASSERT(
            engine.start(order_of("a", "length=50"), at({})) ==
            start_verdict::started);
        run_out(engine);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{50}, produced(engine, "a"));
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{0}, engine.current_load().preemptions);
    }

    void test_priority_goes_first()
    {
        engine_model engine = make();
        for (const char* id : {"a", "b", "c", "d", "waits"})
            CPPUNIT_ASSERT(
                engine.start(order_of(id, "length=30", 1), at({})) ==
                start_verdict::started);
        engine.advance(*engine.next_step());
        CPPUNIT_ASSERT(
            engine.start(order_of("urgent", "length=30", 9), at({})) ==
            start_verdict::started);
        while (produced(engine, "urgent") == 0)
            engine.advance(*engine.next_step());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{30}, produced(engine, "a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, produced(engine, "waits"));
        run_out(engine);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{30}, produced(engine, "waits"));
    }

    void test_refusals()
    {
        engine_model engine = make(1000);
        auto wrong = order_of("a", "x");
        wrong.model = "other";
        CPPUNIT_ASSERT(
            engine.start(wrong, at({})) == start_verdict::wrong_model);
        CPPUNIT_ASSERT(
            engine.start(order_of("a", std::string(4000, 'x')), at({})) ==
            start_verdict::full);
        for (int count = 0; count < 1 + 8; ++count)
            CPPUNIT_ASSERT(
                engine.start(
                    order_of(std::to_string(count), "length=50"), at({})) ==
                start_verdict::started);
        CPPUNIT_ASSERT(
            engine.start(order_of("0", "length=50"), at({})) ==
            start_verdict::known);
        CPPUNIT_ASSERT(
            engine.start(order_of("ninth", "x"), at({})) ==
            start_verdict::full);
        // A step fills the batch, and as many can wait again.
        engine.advance(at(milliseconds(30)));
        int accepted = 0;
        while (engine.start(
                   order_of("n" + std::to_string(accepted), "x"),
                   at(milliseconds(30))) == start_verdict::started)
            ++accepted;
        CPPUNIT_ASSERT_EQUAL(3, accepted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, engine.current_load().waiting);
        engine.set_leaving(true);
        CPPUNIT_ASSERT(
            engine.start(order_of("z", "x"), at(seconds(60))) ==
            start_verdict::leaving);
        run_out(engine);
        CPPUNIT_ASSERT(engine.current_load().waiting == 0);
    }

    void test_cancel_frees_memory()
    {
        engine_model engine = make();
        CPPUNIT_ASSERT(
            engine.start(order_of("a", "length=500"), at({})) ==
            start_verdict::started);
        engine.advance(at(seconds(1)));
        CPPUNIT_ASSERT(engine.current_load().memory_used > 10);
        CPPUNIT_ASSERT(engine.cancel(generation_id("a"), at(seconds(1))));
        CPPUNIT_ASSERT(engine.current_load() == engine_load{});
        CPPUNIT_ASSERT(!engine.find(generation_id("a")));
        CPPUNIT_ASSERT(!engine.cancel(generation_id("a"), at(seconds(1))));
        CPPUNIT_ASSERT(run_out(engine) < at(seconds(2)));
    }

    void test_finished_are_kept_up_to_a_bound()
    {
        engine_model engine = make();
        for (const char* id : {"a", "b", "c", "d", "e", "f", "g"}) {
            const auto now = run_out(engine);
            CPPUNIT_ASSERT(
                engine.start(order_of(id, "length=2"), now) ==
                start_verdict::started);
        }
        run_out(engine);
        CPPUNIT_ASSERT(!engine.find(generation_id("a")));
        CPPUNIT_ASSERT(engine.find(generation_id("b")));
        CPPUNIT_ASSERT(engine.find(generation_id("g")));
    }

    void test_load_lags()
    {
        engine_model engine = make();
        CPPUNIT_ASSERT(
            engine.start(order_of("a", "length=500"), at(seconds(1))) ==
            start_verdict::started);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0},
            engine.reported_load(at(milliseconds(1199))).running);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1},
            engine.reported_load(at(milliseconds(1200))).running);
    }

    void test_cached_prefix_starts_sooner()
    {
        const std::string prompt = std::string(4000, 'x') + " length=1";
        engine_model engine = make();
        CPPUNIT_ASSERT(
            engine.start(order_of("a", prompt), at({})) ==
            start_verdict::started);
        const auto first = run_out(engine);
        CPPUNIT_ASSERT(
            engine.start(order_of("b", prompt), first) ==
            start_verdict::started);
        const auto second = run_out(engine);
        CPPUNIT_ASSERT(second - first <= first - at({}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, engine.cache().next_sequence());
    }

    void test_cache_events_have_gaps()
    {
        engine_model engine = make();
        auto now = at({});
        for (int count = 0; count < 200; ++count) {
            const auto order = order_of(
                std::to_string(count),
                "prompt " + std::to_string(count) + " length=1");
            CPPUNIT_ASSERT(engine.start(order, now) == start_verdict::started);
            now = run_out(engine);
        }
        const auto events = engine.cache().events_from(0);
        // Every prompt is stored, and evicted when two more came.
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{398}, engine.cache().next_sequence());
        CPPUNIT_ASSERT(events.size() < 398 && events.size() > 340);
        CPPUNIT_ASSERT(
            engine.cache().events_from(events.back().sequence).size() == 1);
    }

    void test_fencing()
    {
        order_state checking("model", fencing_rule::checked);
        order_state trusting("model", fencing_rule::ignored);
        engine_order load;
        load.fencing = 7;
        load.model = "second";
        load.version = "2";
        engine_order stale;
        stale.fencing = 6;
        stale.action = order_action::unload;
        stale.model = "second";
        for (order_state* orders : {&checking, &trusting}) {
            CPPUNIT_ASSERT(orders->apply(load));
            CPPUNIT_ASSERT_EQUAL(std::string("2"), orders->version());
            CPPUNIT_ASSERT(orders->models().contains("second"));
        }
        CPPUNIT_ASSERT(!checking.apply(stale));
        CPPUNIT_ASSERT(checking.models().contains("second"));
        CPPUNIT_ASSERT(trusting.apply(stale));
        CPPUNIT_ASSERT(!trusting.models().contains("second"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, trusting.highest_fencing());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_model_test);

} // namespace
