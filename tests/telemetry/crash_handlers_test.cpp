// Guards against crashes without a trace: a crash ends every request of the
// process, and the log showed only the start of the next process. The last line
// of the log must name the cause.

#include <godwit/telemetry/crash_handlers.hpp>
#include <godwit/telemetry/log.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <functional>
#include <stdexcept>
#include <string>

namespace {

using namespace godwit;

class crash_handlers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crash_handlers_test);
    CPPUNIT_TEST(test_fatal_signal_is_logged);
    CPPUNIT_TEST(test_uncaught_exception_is_logged);
    CPPUNIT_TEST_SUITE_END();

    struct process_end
    {
        std::string output;
        int signal = 0;
    };

    /// Runs `fault` in a child process; returns its output and the signal that
    /// ended it.
    static process_end run_to_crash(const std::function<void()>& fault)
    {
        std::array<int, 2> ends{};
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends.data()));
        const pid_t child = ::fork();
        if (child == 0) {
            ::dup2(ends[1], STDOUT_FILENO);
            const core::host_name host("h1");
            const core::zone_name zone("east");
            telemetry::start_log(
                telemetry::log_level::info,
                host,
                zone,
                telemetry::log_target::standard_output);
            telemetry::install_crash_handlers(host, zone);
            fault();
            ::_exit(0);
        }
        ::close(ends[1]);
        process_end result;
        std::array<char, 4096> bytes{};
        ssize_t count = 0;
        while ((count = ::read(ends[0], bytes.data(), bytes.size())) > 0)
            result.output.append(bytes.data(), static_cast<std::size_t>(count));
        ::close(ends[0]);
        int status = 0;
        CPPUNIT_ASSERT_EQUAL(child, ::waitpid(child, &status, 0));
        result.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
        return result;
    }

    void test_fatal_signal_is_logged()
    {
        const process_end result = run_to_crash([] { std::raise(SIGSEGV); });
        CPPUNIT_ASSERT_EQUAL(SIGSEGV, result.signal);
        CPPUNIT_ASSERT_EQUAL(
            std::string("level=ERROR component=process host=h1 zone=east "
                        "event=fatal signal=11\n"),
            result.output);
    }

    static void call_noexcept(const std::function<void()>& step) noexcept
    {
        step();
    }

    void test_uncaught_exception_is_logged()
    {
        const process_end result = run_to_crash(
            [] { call_noexcept([] { throw std::runtime_error("a fault"); }); });
        CPPUNIT_ASSERT_EQUAL(SIGABRT, result.signal);
        CPPUNIT_ASSERT(
            result.output.find("event=uncaught cause=\"a fault\"") !=
            std::string::npos);
        CPPUNIT_ASSERT(result.output.ends_with("event=fatal signal=06\n"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_handlers_test);

} // namespace
