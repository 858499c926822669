#include "command_line.hpp"

#include <godwit/core/result.hpp>

#include <getopt.h>

#include <array>
#include <charconv>
#include <cstdlib>
#include <cstring>
#include <string_view>

namespace godwit::ctl {

namespace {

using settings::early_exit;
using settings::exit_code;

constexpr long maximum_timeout_seconds = 3600;

constexpr const char* help_text =
    R"(Drives godwitworks by its catalogue, and shows what it does.

Usage: godwitctl COMMAND [options]

  check FILE            check a change file; with --platform also against
                        the catalogue in the log
  publish FILE          publish it; safe to repeat after a lost answer
    --wait              wait until it is in force on every host of --operators
  get [ENTRY]           the catalogue in the log, or one entry of it
  history [ENTRY]       the decisions that the log still holds
  status                the catalogue in force on each host of --operators
  dump URL              the state dump of one process
  explain ID URL        the decisions of one proxy on one request
  hash-token TOKEN      what an organisation lists for a bearer token;
                        TOKEN may be - to read it from standard input

  --platform URL        the platform (or GODWIT_PLATFORM)
  --operators URL,...   operators' addresses (or GODWIT_OPERATORS)
  --timeout SECONDS     give up after this time, 30 if left out
  --json                print JSON
  --version             print the version and end
  --help                print this text and end

Exit codes: 0 done, 1 refused or failed, 2 usage, 3 settings.)";

struct command_rule
{
    std::string_view name;
    command what;
    std::size_t least_arguments;
    std::size_t most_arguments;
    bool needs_platform;
    bool needs_operators;
};

constexpr std::array<command_rule, 8> rules{{
    {"check", command::check, 1, 1, false, false},
    {"publish", command::publish, 1, 1, true, false},
    {"get", command::get, 0, 1, true, false},
    {"history", command::history, 0, 1, true, false},
    {"status", command::status, 0, 0, false, true},
    {"dump", command::dump, 1, 1, false, false},
    {"explain", command::explain, 2, 2, false, false},
    {"hash-token", command::hash_token, 1, 1, false, false},
}};

tl::unexpected<early_exit> wrong_usage(const std::string& what)
{
    return tl::unexpected(early_exit(
        exit_code::usage_error,
        "godwitctl: " + what + "; see godwitctl --help"));
}

core::result<std::vector<http::endpoint>> parse_urls(std::string_view text)
{
    std::vector<http::endpoint> all;
    while (!text.empty()) {
        const std::size_t comma = text.find(',');
        all.push_back(
            GODWIT_TRY(http::endpoint::parse_url(text.substr(0, comma))));
        if (comma == std::string_view::npos)
            break;
        text.remove_prefix(comma + 1);
    }
    return all;
}

// Takes the addresses of the environment where the command line has none.
core::result<void> read_environment(command_line& line)
{
    const char* platform = std::getenv("GODWIT_PLATFORM");
    if (!line.platform && platform != nullptr)
        line.platform = GODWIT_TRY(http::endpoint::parse_url(platform));
    const char* operators = std::getenv("GODWIT_OPERATORS");
    if (line.operators.empty() && operators != nullptr)
        line.operators = GODWIT_TRY(parse_urls(operators));
    return {};
}

std::optional<std::chrono::seconds> parse_seconds(const char* text)
{
    long value = 0;
    const char* end = text + std::strlen(text);
    const auto read = std::from_chars(text, end, value);
    if (read.ec != std::errc() || read.ptr != end || value < 1 ||
        value > maximum_timeout_seconds)
        return std::nullopt;
    return std::chrono::seconds(value);
}

tl::expected<void, early_exit>
check_needs(const command_line& line, const command_rule& rule)
{
    const std::string name(rule.name);
    if (line.arguments.size() < rule.least_arguments)
        return wrong_usage(name + " needs an argument more");
    if (line.arguments.size() > rule.most_arguments)
        return wrong_usage(
            "'" + line.arguments.back() + "' is not expected after " + name);
    if (rule.needs_platform && !line.platform)
        return wrong_usage(name + " needs --platform URL");
    if ((rule.needs_operators || line.wait) && line.operators.empty())
        return wrong_usage(
            name + (line.wait ? " --wait" : "") + " needs --operators URL,...");
    return {};
}

// Takes the option that getopt_long found.
tl::expected<void, early_exit> take_option(command_line& line, int found)
{
    switch (found) {
    case 'h':
        return tl::unexpected(early_exit(exit_code::success, help_text));
    case 'v':
        return tl::unexpected(
            early_exit(exit_code::success, "godwitctl " GODWIT_VERSION));
    case 'j':
        line.as_json = true;
        return {};
    case 'w':
        line.wait = true;
        return {};
    case 't': {
        const auto seconds = parse_seconds(optarg);
        if (!seconds)
            return wrong_usage("--timeout takes 1 to 3600 seconds");
        line.timeout = *seconds;
        return {};
    }
    default:
        break;
    }
    auto urls = parse_urls(optarg);
    if (!urls || urls->empty())
        return wrong_usage(
            std::string(optarg) + " is no address such as http://IP:PORT");
    if (found == 'o')
        line.operators = std::move(*urls);
    else
        line.platform = urls->front();
    return {};
}

} // namespace

tl::expected<command_line, early_exit>
command_line::parse(int argument_count, char** arguments)
{
    static const std::array<option, 8> known = {{
        {"help", no_argument, nullptr, 'h'},
        {"version", no_argument, nullptr, 'v'},
        {"json", no_argument, nullptr, 'j'},
        {"wait", no_argument, nullptr, 'w'},
        {"timeout", required_argument, nullptr, 't'},
        {"platform", required_argument, nullptr, 'p'},
        {"operators", required_argument, nullptr, 'o'},
        {nullptr, 0, nullptr, 0},
    }};
    command_line line;
    // Zero makes getopt_long start afresh, so that tests may call twice.
    optind = 0;
    opterr = 0;
    for (;;) {
        const int found =
            getopt_long(argument_count, arguments, ":", known.data(), nullptr);
        if (found == -1)
            break;
        if (found == '?' || found == ':') {
            return wrong_usage(
                std::string(arguments[optind - 1]) +
                (found == ':' ? " needs a value" : " is not an option"));
        }
        if (auto taken = take_option(line, found); !taken)
            return tl::unexpected(std::move(taken).error());
    }
    if (optind >= argument_count)
        return wrong_usage("a command is missing");
    const std::string_view name = arguments[optind];
    line.arguments.assign(arguments + optind + 1, arguments + argument_count);
    for (const command_rule& rule : rules) {
        if (rule.name != name)
            continue;
        if (auto read = read_environment(line); !read)
            return tl::unexpected(early_exit(
                exit_code::settings_error,
                "godwitctl: " + read.error().to_string()));
        if (auto checked = check_needs(line, rule); !checked)
            return tl::unexpected(std::move(checked).error());
        line.what = rule.what;
        return line;
    }
    return wrong_usage("'" + std::string(name) + "' is no command");
}

} // namespace godwit::ctl
