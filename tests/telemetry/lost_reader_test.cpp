// Whoever reads a program's log may end at any time. The sink looks whether
// the reader is there before it writes, but a reader that ends between the
// look and the write makes the write raise SIGPIPE, which ends the process
// and everything that it serves. The log to standard error does not even
// look. A lost reader may cost lines, nothing else.

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

constexpr int went_on = 7;

class lost_reader_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(lost_reader_test);
    CPPUNIT_TEST(test_a_reader_that_ends_before_a_write_to_standard_output);
    CPPUNIT_TEST(test_a_reader_that_ends_before_a_line_to_standard_error);
    CPPUNIT_TEST_SUITE_END();

    // How a process ends that logs to a pipe without a reader, and then does
    // `then`.
    static int
    end_of(log_target target, int descriptor, const std::function<void()>& then)
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
            then();
            ::_exit(is_set ? went_on : 1);
        }
        int status = 0;
        CPPUNIT_ASSERT_EQUAL(child, ::waitpid(child, &status, 0));
        return status;
    }

    static void check(int status)
    {
        CPPUNIT_ASSERT_MESSAGE("ended by a signal", WIFEXITED(status));
        CPPUNIT_ASSERT_EQUAL(went_on, WEXITSTATUS(status));
    }

    // The write alone, as the sink does it after its look.
    void test_a_reader_that_ends_before_a_write_to_standard_output()
    {
        check(end_of(log_target::standard_output, STDOUT_FILENO, [] {
            const char line = '\n';
            if (::write(STDOUT_FILENO, &line, 1) >= 0 || errno != EPIPE)
                ::_exit(1);
        }));
    }

    void test_a_reader_that_ends_before_a_line_to_standard_error()
    {
        check(end_of(log_target::standard_error, STDERR_FILENO, [] {
            telemetry::log_event(telemetry::log_level::error, "test", "line");
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lost_reader_test);

} // namespace
