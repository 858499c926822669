#include "fake_process.hpp"

#include <godwit/http/fetch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <stdexcept>
#include <utility>

namespace godwit::fakes::test {

namespace {

std::string read_line(int descriptor)
{
    std::string line;
    char letter = 0;
    while (::read(descriptor, &letter, 1) == 1 && letter != '\n')
        line.push_back(letter);
    return line;
}

} // namespace

fake_process::fake_process(
    const std::string& program, std::vector<std::string> options)
{
    std::string path = std::string(GODWIT_PROGRAM_FOLDER) + "/" + program;
    std::vector<char*> arguments{path.data()};
    for (std::string& option : options)
        arguments.push_back(option.data());
    arguments.push_back(nullptr);

    std::array<int, 2> pipe_ends{};
    if (::pipe(pipe_ends.data()) != 0)
        throw std::runtime_error("no pipe");
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
    ::posix_spawn_file_actions_addclose(&actions, pipe_ends[0]);
    const int failure = ::posix_spawn(
        &process_, path.c_str(), &actions, nullptr, arguments.data(), environ);
    ::posix_spawn_file_actions_destroy(&actions);
    ::close(pipe_ends[1]);
    if (failure != 0)
        throw std::runtime_error("cannot start " + path);
    announcement_ = read_line(pipe_ends[0]);
    ::close(pipe_ends[0]);
    const auto url = announcement_.substr(announcement_.find('=') + 1);
    address_ = http::endpoint::parse_url(url).value();
}

fake_process::~fake_process()
{
    if (process_ > 0)
        stop();
}

std::optional<http::response> fake_process::ask(
    const std::string& method,
    const std::string& target,
    const std::string& body,
    const http::header_fields& fields) const
{
    boost::asio::io_context context(1);
    http::request outgoing{method, target, fields, body};
    auto answer = boost::asio::co_spawn(
        context,
        http::fetch(*address_, std::move(outgoing), http::fetch_limits{}),
        boost::asio::use_future);
    context.run();
    http::client_result<http::response> received = answer.get();
    if (!received)
        return std::nullopt;
    return std::move(*received);
}

int fake_process::stop()
{
    ::kill(process_, SIGTERM);
    int status = 0;
    ::waitpid(std::exchange(process_, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

} // namespace godwit::fakes::test
