#include "load_options.hpp"

#include <godwit/load/effect_check.hpp>
#include <godwit/load/outside_view.hpp>
#include <godwit/load/plan.hpp>
#include <godwit/load/report.hpp>
#include <godwit/load/runner.hpp>

#include <fstream>
#include <iostream>

namespace {

using godwit::fakes::option_reader;
using godwit::load::load_options;

constexpr int exit_done = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

/// Preemptions as the engines or else the proxies count them; nothing when
/// neither was named.
godwit::core::result<std::optional<std::uint64_t>>
read_preemptions(const load_options& options)
{
    std::optional<std::uint64_t> count;
    if (!options.engines.empty())
        count = GODWIT_TRY(godwit::load::engine_preemptions(options.engines));
    else if (!options.operators.empty())
        count = GODWIT_TRY(godwit::load::proxy_preemptions(options.operators));
    return count;
}

godwit::load::run_parameters parameters_of(const load_options& options)
{
    godwit::load::run_parameters parameters;
    parameters.mix = options.mix;
    parameters.requests_per_second = options.plan.requests_per_second;
    parameters.seconds =
        std::chrono::duration<double>(options.plan.span).count();
    parameters.seed = options.plan.seed;
    parameters.entries = options.plan.entries;
    parameters.reconnects =
        options.run.on_break == godwit::load::reconnection::with_last_event;
    return parameters;
}

godwit::core::result<godwit::load::run_summary>
measure(const load_options& options)
{
    const auto plan = GODWIT_TRY(godwit::load::make_plan(options.plan));
    const auto before = GODWIT_TRY(read_preemptions(options));
    auto records = godwit::load::run_plan(options.run, plan);
    if (!options.services.empty()) {
        const auto effects =
            GODWIT_TRY(godwit::load::service_effects(options.services));
        godwit::load::check_effects(plan, effects, records);
    }
    auto summary = godwit::load::run_summary::of(records);
    summary.parameters = parameters_of(options);
    const auto after = GODWIT_TRY(read_preemptions(options));
    if (before && after)
        summary.preemptions = *after - *before;
    return summary;
}

int run(const load_options& options)
{
    const auto summary = measure(options);
    if (!summary) {
        std::cerr << summary.error().to_string() << "\n";
        return exit_failed;
    }
    std::cout << godwit::load::to_table(*summary);
    if (!options.json_file.empty()) {
        std::ofstream file(options.json_file);
        file << godwit::load::to_json(*summary) << "\n";
        if (!file.flush()) {
            std::cerr << "cannot write " << options.json_file
                      << "; choose another --json file\n";
            return exit_failed;
        }
    }
    return summary->has_fault() ? exit_failed : exit_done;
}

} // namespace

int main(int argument_count, char** arguments)
{
    option_reader reader = load_options::describe();
    switch (reader.read(argument_count, arguments)) {
    case option_reader::request::help:
        std::cout << reader.usage(
            "godwit-load",
            "Sends requests at random times whatever became of the ones "
            "before,\nchecks every answer token by token and measures. Ends "
            "with 1 when an\nanswer was wrong.");
        return exit_done;
    case option_reader::request::version:
        std::cout << "godwit-load " << GODWIT_VERSION << "\n";
        return exit_done;
    case option_reader::request::wrong_usage:
        return exit_usage;
    case option_reader::request::run:
        break;
    }
    const auto options = load_options::read(reader);
    if (!options) {
        std::cerr << options.error().to_string() << "\n";
        return exit_usage;
    }
    return run(*options);
}
