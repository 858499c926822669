#include <godwit/load/plan.hpp>
#include <godwit/load/sample_set.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <set>

namespace {

using namespace godwit::load;
using godwit::core::duration;
using std::chrono::seconds;

class plan_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(plan_test);
    CPPUNIT_TEST(test_same_seed_same_plan);
    CPPUNIT_TEST(test_rate_and_mix);
    CPPUNIT_TEST(test_keys_are_unique);
    CPPUNIT_TEST(test_bound);
    CPPUNIT_TEST(test_percentiles);
    CPPUNIT_TEST_SUITE_END();

    static plan_settings settings_of(const char* mix, std::uint64_t seed)
    {
        plan_settings settings;
        settings.mix = request_mix::named(mix).value();
        settings.requests_per_second = 100;
        settings.span = seconds(100);
        settings.seed = seed;
        settings.entries = 2;
        settings.tokens = 3;
        return settings;
    }

    void test_same_seed_same_plan()
    {
        const auto one = make_plan(settings_of("krajevnik", 1)).value();
        CPPUNIT_ASSERT(one == make_plan(settings_of("krajevnik", 1)).value());
        CPPUNIT_ASSERT(one != make_plan(settings_of("krajevnik", 2)).value());
        CPPUNIT_ASSERT(!request_mix::named("other"));
    }

    void test_rate_and_mix()
    {
        const auto plan = make_plan(settings_of("predavka", 1)).value();
        CPPUNIT_ASSERT(plan.size() > 9700 && plan.size() < 10300);
        std::array<std::size_t, all_classes.size()> counts{};
        duration last{};
        for (const planned_request& planned : plan) {
            ++counts.at(index_of(planned.kind));
            CPPUNIT_ASSERT(planned.at >= last && planned.at < seconds(100));
            CPPUNIT_ASSERT(planned.entry < 2 && planned.token < 3);
            last = planned.at;
        }
        const auto share = [&](request_class kind) {
            return counts.at(index_of(kind)) * 100 / plan.size();
        };
        CPPUNIT_ASSERT(share(request_class::long_stream) - 18 < 4);
        CPPUNIT_ASSERT(share(request_class::short_whole) - 37 < 5);
        CPPUNIT_ASSERT(share(request_class::confirmation) - 27 < 5);
        CPPUNIT_ASSERT(share(request_class::booking) - 8 < 4);
    }

    void test_keys_are_unique()
    {
        std::set<std::string> texts;
        std::set<std::string> keys;
        std::size_t bookings = 0;
        const auto plan = make_plan(settings_of("krajevnik", 1)).value();
        for (const planned_request& planned : plan) {
            texts.insert(planned.text);
            if (planned.kind != request_class::booking) {
                CPPUNIT_ASSERT(planned.key.empty());
                continue;
            }
            ++bookings;
            keys.insert(planned.key);
        }
        CPPUNIT_ASSERT_EQUAL(plan.size(), texts.size());
        CPPUNIT_ASSERT_EQUAL(bookings, keys.size());
    }

    void test_bound()
    {
        plan_settings settings = settings_of("krajevnik", 1);
        settings.requests_per_second = 10'001;
        CPPUNIT_ASSERT(!make_plan(settings));
    }

    void test_percentiles()
    {
        sample_set samples;
        CPPUNIT_ASSERT(samples.percentile(50) == duration(0));
        for (int value = 1; value <= 100'000; ++value)
            samples.add(duration(value));
        for (const double percent : {1.0, 50.0, 95.0, 99.0, 99.9}) {
            const auto exact = percent * 1000;
            const auto found =
                static_cast<double>(samples.percentile(percent).count());
            CPPUNIT_ASSERT(found >= exact && found <= exact * 1.017);
        }
        CPPUNIT_ASSERT(samples.percentile(100) == duration(100'000));
        CPPUNIT_ASSERT(samples.longest() == duration(100'000));
        sample_set small;
        for (int value = 0; value < 64; ++value)
            small.add(duration(value));
        CPPUNIT_ASSERT(small.percentile(50) == duration(31));
        sample_set huge;
        huge.add(std::chrono::hours(24 * 365));
        CPPUNIT_ASSERT(huge.percentile(50) > std::chrono::hours(24));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(plan_test);

} // namespace
