// Measures the processor time and memory of the decision libraries against
// size. `meta/capacity` runs it and fits slopes to the points.

#include "claims_sweep.hpp"
#include "dispatch_sweep.hpp"
#include "membership_sweep.hpp"
#include "resume_token_sweep.hpp"

#include <array>
#include <iostream>
#include <string_view>

#include <getopt.h>

namespace {

constexpr int exit_done = 0;
constexpr int exit_usage = 2;

struct named_sweep
{
    std::string_view name;
    void (*run)();
};

constexpr std::array<named_sweep, 4> sweeps{{
    {"dispatch", godwit::capacity::run_dispatch_sweep},
    {"membership", godwit::capacity::run_membership_sweep},
    {"claims", godwit::capacity::run_claims_sweep},
    {"resume-token", godwit::capacity::run_resume_token_sweep},
}};

int show_usage(std::ostream& out, int code)
{
    out << "usage: godwit-capacity SWEEP\n"
           "Writes the points of a sweep, one line of JSON each.\nsweeps:";
    for (const named_sweep& each : sweeps)
        out << " " << each.name;
    out << "\n";
    return code;
}

} // namespace

int main(int argument_count, char** arguments)
{
    const std::array<option, 3> options{
        {{"help", no_argument, nullptr, 'h'},
         {"version", no_argument, nullptr, 'v'},
         {nullptr, 0, nullptr, 0}}};
    const int found =
        ::getopt_long(argument_count, arguments, "h", options.data(), nullptr);
    if (found == 'h')
        return show_usage(std::cout, exit_done);
    if (found == 'v') {
        std::cout << "godwit-capacity " << GODWIT_VERSION << '\n';
        return exit_done;
    }
    if (found != -1 || optind + 1 != argument_count)
        return show_usage(std::cerr, exit_usage);
    for (const named_sweep& each : sweeps) {
        if (each.name == arguments[optind]) {
            each.run();
            return exit_done;
        }
    }
    return show_usage(std::cerr, exit_usage);
}
