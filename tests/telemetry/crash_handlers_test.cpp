// A process that ends by a fault takes every request along that it had. Its
// log held nothing but the start of the next one; now the last line says why.

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
    CPPUNIT_TEST(test_a_fatal_signal_is_said);
    CPPUNIT_TEST(test_an_uncaught_exception_is_said);
    CPPUNIT_TEST_SUITE_END();

    struct ending
    {
        std::string said;
        int signal = 0;
    };

    /// What a process says that does `fault`, and the signal that ends it.
    static ending end_by(const std::function<void()>& fault)
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
        ending seen;
        std::array<char, 4096> bytes{};
        ssize_t count = 0;
        while ((count = ::read(ends[0], bytes.data(), bytes.size())) > 0)
            seen.said.append(bytes.data(), static_cast<std::size_t>(count));
        ::close(ends[0]);
        int status = 0;
        CPPUNIT_ASSERT_EQUAL(child, ::waitpid(child, &status, 0));
        seen.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
        return seen;
    }

    void test_a_fatal_signal_is_said()
    {
        const ending seen = end_by([] { std::raise(SIGSEGV); });
        CPPUNIT_ASSERT_EQUAL(SIGSEGV, seen.signal);
        CPPUNIT_ASSERT_EQUAL(
            std::string("level=ERROR component=process host=h1 zone=east "
                        "event=fatal signal=11\n"),
            seen.said);
    }

    static void run_without_a_catch(const std::function<void()>& step) noexcept
    {
        step();
    }

    void test_an_uncaught_exception_is_said()
    {
        const ending seen = end_by([] {
            run_without_a_catch([] { throw std::runtime_error("a fault"); });
        });
        CPPUNIT_ASSERT_EQUAL(SIGABRT, seen.signal);
        CPPUNIT_ASSERT(
            seen.said.find("event=uncaught cause=\"a fault\"") !=
            std::string::npos);
        CPPUNIT_ASSERT(seen.said.ends_with("event=fatal signal=06\n"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_handlers_test);

} // namespace
