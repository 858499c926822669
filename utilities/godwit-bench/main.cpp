// Runs the workloads against the scheduler and the baselines and writes what
// it measured.

#include "baseline.hpp"
#include "report.hpp"
#include "simulation.hpp"
#include "workload.hpp"

#include <godwit/dispatch/scheduler.hpp>

#include <getopt.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace godwit;
using namespace std::chrono_literals;

constexpr unsigned most_threads = 4;

struct arguments
{
    std::vector<std::string> workloads = {"krajevnik", "predavka"};
    std::vector<std::string> policies = {
        "round_robin", "least_requests", "two_choices", "godwit"};
    std::vector<double> loads = {0.7, 0.9, 1.1, 1.5};
    std::vector<double> lags = {0.5, 3.0};
    unsigned seeds = 10;
    unsigned threads = most_threads;
    std::size_t hosts = 6;
    unsigned first_seed = 1;
    /// Requests that an engine queues; 0 is the workload's own.
    std::size_t waiting_limit = 0;
    std::string json;
    std::string markdown;
};

void print_usage(std::ostream& out)
{
    out << "usage: godwit-bench [--workloads A,B] [--policies A,B]\n"
           "    [--loads X,Y] [--lags SECONDS,...] [--seeds N]\n"
           "    [--threads N] [--hosts N] [--first-seed N]\n"
           "    [--waiting-limit N] [--json FILE] [--markdown FILE]\n"
           "policies: round_robin least_requests two_choices\n"
           "    least_requests_priorities godwit\n"
           "    and the variations:";
    for (const auto& variation : bench::all_variations())
        out << ' ' << variation.name;
    out << '\n';
}

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');)
        parts.push_back(part);
    return parts;
}

std::vector<double> split_numbers(const std::string& text)
{
    std::vector<double> numbers;
    for (const std::string& part : split(text))
        numbers.push_back(std::stod(part));
    return numbers;
}

bool parse(int count, char** values, arguments& result)
{
    const option options[] = {
        {"workloads", required_argument, nullptr, 'w'},
        {"policies", required_argument, nullptr, 'p'},
        {"loads", required_argument, nullptr, 'l'},
        {"lags", required_argument, nullptr, 'g'},
        {"seeds", required_argument, nullptr, 's'},
        {"threads", required_argument, nullptr, 't'},
        {"first-seed", required_argument, nullptr, 'f'},
        {"waiting-limit", required_argument, nullptr, 'q'},
        {"hosts", required_argument, nullptr, 'h'},
        {"json", required_argument, nullptr, 'j'},
        {"markdown", required_argument, nullptr, 'm'},
        {"help", no_argument, nullptr, 'H'},
        {"version", no_argument, nullptr, 'V'},
        {nullptr, 0, nullptr, 0}};
    int code = 0;
    while ((code = getopt_long(count, values, "", options, nullptr)) != -1) {
        switch (code) {
        case 'w':
            result.workloads = split(optarg);
            break;
        case 'p':
            result.policies = split(optarg);
            break;
        case 'l':
            result.loads = split_numbers(optarg);
            break;
        case 'g':
            result.lags = split_numbers(optarg);
            break;
        case 's':
            result.seeds = static_cast<unsigned>(std::stoul(optarg));
            break;
        case 't':
            result.threads = std::clamp(
                static_cast<unsigned>(std::stoul(optarg)), 1U, most_threads);
            break;
        case 'h':
            result.hosts = std::max(std::stoul(optarg), 1UL);
            break;
        case 'f':
            result.first_seed = static_cast<unsigned>(std::stoul(optarg));
            break;
        case 'q':
            result.waiting_limit = std::stoul(optarg);
            break;
        case 'j':
            result.json = optarg;
            break;
        case 'm':
            result.markdown = optarg;
            break;
        case 'H':
            print_usage(std::cout);
            std::exit(EXIT_SUCCESS);
        case 'V':
            std::cout << "godwit-bench " << GODWIT_VERSION << '\n';
            std::exit(EXIT_SUCCESS);
        default:
            return false;
        }
    }
    return optind == count;
}

bench::measurements
run_one(const bench::workload& workload, const bench::run_key& key)
{
    bench::run_settings settings;
    settings.load = key.load;
    settings.report_lag = std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(key.lag_s));
    settings.seed = key.seed;
    const auto run_baseline = [&](bench::baseline_choice choice) {
        return bench::simulation<bench::baseline>(
                   workload,
                   settings,
                   [&](std::size_t host) {
                       return bench::baseline(choice, key.seed * 101 + host);
                   })
            .run();
    };
    if (key.policy == "round_robin")
        return run_baseline(bench::baseline_choice::round_robin);
    if (key.policy == "least_requests")
        return run_baseline(bench::baseline_choice::least_requests);
    if (key.policy == "least_requests_priorities")
        return run_baseline(bench::baseline_choice::least_requests_priorities);
    if (key.policy == "two_choices")
        return run_baseline(bench::baseline_choice::two_choices);
    settings.variation = bench::find_variation(key.policy).value();
    return bench::simulation<dispatch::scheduler>(
               workload,
               settings,
               [&](std::size_t host) {
                   dispatch::scheduler_settings own;
                   const std::size_t zones = workload.engines.size();
                   own.zone = core::zone_name(
                       "zone-" +
                       std::to_string(
                           settings.variation.zones ? host % zones : 0));
                   own.seed = key.seed * 101 + host;
                   own.candidates = settings.variation.candidates;
                   own.length_quantile = settings.variation.length_quantile;
                   return dispatch::scheduler::create(own).value();
               })
        .run();
}

std::vector<bench::run_result> all_runs(const arguments& wanted)
{
    std::vector<bench::run_result> runs;
    for (const std::string& workload : wanted.workloads)
        for (const double lag : wanted.lags)
            for (const double load : wanted.loads)
                for (const std::string& policy : wanted.policies)
                    for (unsigned seed = 0; seed < wanted.seeds; ++seed)
                        runs.push_back(
                            {.key =
                                 {.workload = workload,
                                  .policy = policy,
                                  .load = load,
                                  .lag_s = lag,
                                  .seed = wanted.first_seed + seed},
                             .measured = {}});
    return runs;
}

void run_all(std::vector<bench::run_result>& runs, const arguments& wanted)
{
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (std::size_t index = next++; index < runs.size(); index = next++) {
            bench::workload workload = runs[index].key.workload == "krajevnik"
                                           ? bench::krajevnik()
                                           : bench::predavka();
            workload.entry_hosts = wanted.hosts;
            if (wanted.waiting_limit > 0)
                workload.engine.waiting_limit = wanted.waiting_limit;
            runs[index].measured = run_one(workload, runs[index].key);
        }
    };
    std::vector<std::jthread> workers;
    for (unsigned thread = 0; thread < wanted.threads; ++thread)
        workers.emplace_back(work);
}

} // namespace

int main(int count, char** values)
{
    constexpr int usage_error = 2;
    arguments wanted;
    if (!parse(count, values, wanted)) {
        print_usage(std::cerr);
        return usage_error;
    }
    for (const std::string& policy : wanted.policies) {
        const bool is_baseline =
            policy == "round_robin" || policy == "least_requests" ||
            policy == "two_choices" || policy == "least_requests_priorities";
        if (!is_baseline && !bench::find_variation(policy)) {
            std::cerr << "unknown policy " << policy << '\n';
            print_usage(std::cerr);
            return usage_error;
        }
    }
    std::vector<bench::run_result> runs = all_runs(wanted);
    run_all(runs, wanted);
    const std::string table = bench::to_markdown(runs);
    std::cout << table;
    if (!wanted.markdown.empty())
        std::ofstream(wanted.markdown) << table;
    if (!wanted.json.empty())
        std::ofstream(wanted.json) << bench::to_json(runs) << '\n';
    return 0;
}
