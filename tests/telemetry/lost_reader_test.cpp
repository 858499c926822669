// Guards against a SIGPIPE that ends the process. The reader of a program's log
// may end at any time. The sink polls before it writes, but if the reader ends
// between the poll and the write, the write raises SIGPIPE, which ends the
// process and every request that it serves. The log to standard error does not
// poll at all. A lost reader may cost log lines, nothing else.

#include <godwit/telemetry/log.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <functional>

namespace {

using namespace godwit;
using telemetry::log_target;

constexpr int survived_exit_code = 7;

class lost_reader_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(lost_reader_test);
    CPPUNIT_TEST(test_process_survives_write_to_closed_standard_output);
    CPPUNIT_TEST(test_process_survives_log_to_closed_standard_error);
    CPPUNIT_TEST_SUITE_END();

    // Forks a process whose log goes to a pipe without a reader, runs `action`
    // in it and returns its wait status.
    static int run_child(
        log_target target, int descriptor, const std::function<void()>& action)
    {
        const pid_t child = ::fork();
        if (child == 0) {
            std::array<int, 2> ends{};
            const bool is_set =
                ::pipe(ends.data()) == 0 && ::dup2(ends[1], descriptor) >= 0;
            telemetry::start_log(
                telemetry::log_level::info,
                core::host_name("h1"),
                core::zone_name("east"),
                target);
            ::close(ends[0]);
            action();
            ::_exit(is_set ? survived_exit_code : 1);
        }
        int status = 0;
        CPPUNIT_ASSERT_EQUAL(child, ::waitpid(child, &status, 0));
        return status;
    }

    static void check_survived(int status)
    {
        CPPUNIT_ASSERT_MESSAGE("ended by a signal", WIFEXITED(status));
        CPPUNIT_ASSERT_EQUAL(survived_exit_code, WEXITSTATUS(status));
    }

    // Only the write, as the sink does it after its poll.
    void test_process_survives_write_to_closed_standard_output()
    {
        check_survived(
            run_child(log_target::standard_output, STDOUT_FILENO, [] {
                const char line = '\n';
                if (::write(STDOUT_FILENO, &line, 1) >= 0 || errno != EPIPE)
                    ::_exit(1);
            }));
    }

    void test_process_survives_log_to_closed_standard_error()
    {
        check_survived(run_child(log_target::standard_error, STDERR_FILENO, [] {
            telemetry::log_event(telemetry::log_level::error, "test", "line");
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lost_reader_test);

} // namespace
