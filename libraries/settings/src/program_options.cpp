#include <godwit/settings/program_options.hpp>

#include <getopt.h>

#include <array>
#include <utility>

namespace godwit::settings {

namespace {

std::string help(std::string_view program, std::string_view summary)
{
    return std::string(summary) + "\n\nUsage: " + std::string(program) +
           " --config FILE [--check]\n\n"
           "  --config FILE  the settings, in JSON (docs/SETTINGS.md)\n"
           "  --check        check the settings and end\n"
           "  --version      print the version and end\n"
           "  --help         print this text and end\n\n"
           "Exit codes: 0 done, 1 refused or failed, 2 usage, 3 settings.";
}

tl::unexpected<early_exit>
usage_failure(std::string_view program, const std::string& problem)
{
    return tl::unexpected(early_exit(
        exit_code::usage_error,
        std::string(program) + ": " + problem + "; see " +
            std::string(program) + " --help"));
}

} // namespace

program_options::program_options(std::string config_file, bool check_only)
    : config_file_(std::move(config_file)), check_only_(check_only)
{}

tl::expected<program_options, early_exit> program_options::parse(
    std::string_view program,
    std::string_view version,
    std::string_view summary,
    int argument_count,
    char** arguments)
{
    static const std::array<option, 5> options = {{
        {"help", no_argument, nullptr, 'h'},
        {"version", no_argument, nullptr, 'v'},
        {"config", required_argument, nullptr, 'c'},
        {"check", no_argument, nullptr, 'k'},
        {nullptr, 0, nullptr, 0},
    }};
    std::string config_file;
    bool check_only = false;
    // Zero resets getopt_long, so that tests can call this more than once.
    optind = 0;
    opterr = 0;
    for (;;) {
        const int found = getopt_long(
            argument_count, arguments, ":", options.data(), nullptr);
        if (found == -1)
            break;
        switch (found) {
        case 'h':
            return tl::unexpected(
                early_exit(exit_code::success, help(program, summary)));
        case 'v':
            return tl::unexpected(early_exit(
                exit_code::success,
                std::string(program) + " " + std::string(version)));
        case 'c':
            config_file = optarg;
            break;
        case 'k':
            check_only = true;
            break;
        default:
            return usage_failure(
                program,
                std::string(arguments[optind - 1]) +
                    (found == ':' ? " needs a value" : " is not an option"));
        }
    }
    if (optind < argument_count)
        return usage_failure(
            program, std::string(arguments[optind]) + " is not expected");
    if (config_file.empty())
        return usage_failure(program, "--config FILE is missing");
    return program_options(std::move(config_file), check_only);
}

} // namespace godwit::settings
