#pragma once

#include <godwit/core/result.hpp>
#include <godwit/fakes/option_reader.hpp>
#include <godwit/fakes/program_description.hpp>
#include <godwit/http/endpoint.hpp>
#include <godwit/http/server.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>
#include <vector>

namespace godwit::fakes {

/// Runs a stand-in until it ends and returns its exit code. Fails with
/// `invalid_input` when an option's value is wrong.
using program_body = std::function<core::result<int>(
    const option_reader& options, const http::endpoint& listen)>;

/// Reads the command line, with `--listen` before the program's own options,
/// and runs the program's body unless only help or the version was asked for.
/// Returns the exit code: 2 for wrong usage, which standard error explains.
[[nodiscard]] int run_program(
    const program_description& program,
    std::vector<option_description> options,
    int argument_count,
    char** arguments,
    const program_body& body);

/// Listens, prints "NAME=http://IP:PORT" and serves on one thread until
/// SIGTERM or SIGINT. Returns the exit code.
int serve_until_signal(
    boost::asio::io_context& context,
    const std::string& name,
    const http::endpoint& listen,
    http::exchange_handler handler);

} // namespace godwit::fakes
