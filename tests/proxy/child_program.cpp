#include "child_program.hpp"

#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/inotify.h>
#include <sys/wait.h>
#include <unistd.h>

namespace godwit::proxy::test {

namespace {

constexpr int longest_wait_ms = 30'000;

// Waits until a descriptor can be read, so that a fault shows as a failed
// test instead of one that hangs.
void wait_readable(int descriptor, const std::string& what)
{
    pollfd waited{descriptor, POLLIN, 0};
    if (::poll(&waited, 1, longest_wait_ms) != 1)
        throw std::runtime_error("no " + what + " within 30 s");
}

std::string read_line(int descriptor, const std::string& what)
{
    std::string line;
    char letter = 0;
    for (;;) {
        wait_readable(descriptor, what);
        if (::read(descriptor, &letter, 1) != 1)
            throw std::runtime_error("the program ended without " + what);
        if (letter == '\n')
            return line;
        line.push_back(letter);
    }
}

std::string new_log_path()
{
    std::string path = "/tmp/godwit-test-XXXXXX";
    const int descriptor = ::mkstemp(path.data());
    if (descriptor < 0)
        throw std::runtime_error("no file for the log");
    ::close(descriptor);
    return path;
}

} // namespace

child_program::child_program(
    const std::string& program, std::vector<std::string> arguments)
    : log_path_(new_log_path())
{
    std::string path = std::string(GODWIT_PROGRAM_FOLDER) + "/" + program;
    std::vector<char*> words{path.data()};
    for (auto& argument : arguments)
        words.push_back(argument.data());
    words.push_back(nullptr);

    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC) != 0)
        throw std::runtime_error("no pipe");
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    ::posix_spawn_file_actions_addopen(
        &actions, STDERR_FILENO, log_path_.c_str(), O_WRONLY | O_APPEND, 0600);
    const int failure = ::posix_spawn(
        &process_, path.c_str(), &actions, nullptr, words.data(), environ);
    ::posix_spawn_file_actions_destroy(&actions);
    ::close(ends[1]);
    output_ = ends[0];
    if (failure != 0)
        throw std::runtime_error("cannot start " + path);
}

child_program::~child_program()
{
    if (process_ > 0)
        kill();
    ::close(output_);
    ::unlink(log_path_.c_str());
}

std::string child_program::wait_for(const std::string& name)
{
    while (!seen_.contains(name)) {
        const std::string line = read_line(output_, name);
        const auto equals = line.find('=');
        if (equals == std::string::npos)
            seen_[line] = "";
        else
            seen_[line.substr(0, equals)] = line.substr(equals + 1);
    }
    return seen_.at(name);
}

std::string child_program::log() const
{
    const std::ifstream file(log_path_);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string
child_program::wait_for_log(const std::vector<std::string>& parts) const
{
    const int watch = ::inotify_init1(IN_CLOEXEC);
    ::inotify_add_watch(watch, log_path_.c_str(), IN_MODIFY);
    for (;;) {
        std::istringstream lines(log());
        for (std::string line; std::getline(lines, line);) {
            bool has_all = true;
            for (const auto& part : parts)
                has_all = has_all && line.find(part) != std::string::npos;
            if (has_all) {
                ::close(watch);
                return line;
            }
        }
        wait_readable(watch, "log line with " + parts.front());
        std::array<char, 4096> events{};
        if (::read(watch, events.data(), events.size()) <= 0)
            throw std::runtime_error("the log cannot be watched");
    }
}

void child_program::signal(int number) const
{
    // Minus one would mean every process.
    if (process_ > 0)
        ::kill(process_, number);
}

int child_program::wait()
{
    int status = 0;
    ::waitpid(std::exchange(process_, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void child_program::kill()
{
    signal(SIGKILL);
    wait();
}

} // namespace godwit::proxy::test
