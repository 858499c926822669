// Every fault at every step, for every kind of request, over seeds: one
// fault, the same one twice, and two at once.

#include "checker.hpp"
#include "world.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>
#include <string>

namespace {

using namespace godwit::faults;

class matrix_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(matrix_test);
    CPPUNIT_TEST(test_one_fault);
    CPPUNIT_TEST(test_one_fault_and_refusal);
    CPPUNIT_TEST(test_same_fault_twice);
    CPPUNIT_TEST(test_two_faults_at_once);
    CPPUNIT_TEST_SUITE_END();

    void judge(const cell& what)
    {
        world around(what);
        const auto seen = around.run();
        ++cells_;
        auto broken = broken_promises(seen);
        // A cell whose fault never came proves nothing.
        if (!seen.fault_injected)
            broken.emplace_back("the step was not reached");
        if (broken.empty())
            return;
        ++failed_;
        constexpr int shown = 20;
        if (failed_ <= shown || std::getenv("GODWIT_ALL_CELLS") != nullptr)
            std::cout << "\ncell: " << to_string(what) << ": " << broken[0];
    }

    template<class Visitor>
    static void for_each_place(std::uint64_t seeds, Visitor visit)
    {
        for (int work = 0; work < workload_count; ++work) {
            for (int when = 0; when < moment_count; ++when) {
                if (!comes_to(
                        static_cast<workload>(work), static_cast<moment>(when)))
                    continue;
                for (std::uint64_t seed = 0; seed < seeds; ++seed) {
                    visit(cell{
                        static_cast<workload>(work),
                        static_cast<moment>(when),
                        {},
                        seed});
                }
            }
        }
    }

    void finish(const std::string& name)
    {
        std::cout << "\ncells=" << cells_ << " failed=" << failed_ << " of "
                  << name << std::endl;
        CPPUNIT_ASSERT_EQUAL(0, failed_);
    }

    void test_one_fault()
    {
        constexpr std::uint64_t seeds = 4;
        for_each_place(seeds, [&](cell what) {
            for (int first = 0; first < fault_count; ++first) {
                what.faults = {static_cast<fault>(first)};
                judge(what);
            }
        });
        finish("one fault");
    }

    // Dispatch refuses the request on top of the fault.
    void test_one_fault_and_refusal()
    {
        for_each_place(first_refusing_seed, [&](cell what) {
            if (what.when > moment::queued)
                return;
            what.seed += first_refusing_seed;
            for (int first = 0; first < fault_count; ++first) {
                what.faults = {static_cast<fault>(first)};
                judge(what);
            }
        });
        finish("one fault and a refusal");
    }

    void test_same_fault_twice()
    {
        constexpr std::uint64_t seeds = 2;
        for_each_place(seeds, [&](cell what) {
            for (int first = 0; first < fault_count; ++first) {
                const auto same = static_cast<fault>(first);
                what.faults = {same, same};
                judge(what);
            }
        });
        finish("the same fault twice");
    }

    void test_two_faults_at_once()
    {
        for_each_place(1, [&](cell what) {
            for (int first = 0; first < fault_count; ++first) {
                for (int second = 0; second < first; ++second) {
                    what.faults = {
                        static_cast<fault>(first), static_cast<fault>(second)};
                    what.seed = static_cast<std::uint64_t>(first + second) %
                                first_refusing_seed;
                    judge(what);
                }
            }
        });
        finish("two faults at once");
    }

    int cells_ = 0;
    int failed_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(matrix_test);

} // namespace
