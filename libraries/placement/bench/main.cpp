// Measures the time to choose a backend server and to apply a neighbour's load
// report, by number of engines. Prints a line of JSON for each number.

#include <godwit/core/random.hpp>
#include <godwit/placement/placer.hpp>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

namespace {

using namespace godwit;
using namespace godwit::placement;
using clock_type = std::chrono::steady_clock;

constexpr std::size_t measured_choices = 400;
constexpr std::size_t measured_reports = 4000;
// A cell has up to 32 hosts; a fleet of 300 hosts has about ten cells.
constexpr std::size_t neighbours = 31;
constexpr std::size_t groups = 9;
// Streams of one host, each on an engine of its own.
constexpr std::size_t streams_per_host = 3;

constexpr std::size_t first_port = 10'000;

constexpr core::time_point now = core::time_point(std::chrono::seconds(10));

server_id engine_id(std::size_t engine)
{
    return server_id("i-" + std::to_string(1'000'000 + engine));
}

work_size some_work(core::random& random)
{
    return work_size{1, 800 + random.below(900), 0, 0};
}

std::vector<server_work> host_report(std::size_t engines, core::random& random)
{
    std::vector<server_work> report;
    for (std::size_t stream = 0; stream < streams_per_host; ++stream)
        report.push_back({engine_id(random.below(engines)), some_work(random)});
    return report;
}

std::vector<server_work> group_report(std::size_t engines, core::random& random)
{
    std::vector<server_work> report;
    for (std::size_t engine = 0; engine < engines; ++engine)
        report.push_back({engine_id(engine), some_work(random)});
    return report;
}

template<typename Step>
double microseconds_each(std::size_t times, const Step& step)
{
    const auto before = clock_type::now();
    for (std::size_t each = 0; each < times; ++each)
        step();
    const std::chrono::duration<double, std::micro> took =
        clock_type::now() - before;
    return took.count() / static_cast<double>(times);
}

void measure(std::size_t engines)
{
    core::random random(7);
    server_directory directory;
    load_ledger ledger;
    server_health health;
    slow_server_detector slow_servers;
    const server_limits limits;
    routing::service service;
    service.name = core::service_name("lm");
    service.engine = routing::engine_profile{
        .slots = 24, .memory_tokens = 34'000, .tokens_per_event = 4};
    for (std::size_t engine = 0; engine < engines; ++engine)
        directory.update(
            backend_server{
                engine_id(engine),
                service.name,
                http::endpoint::parse(
                    "127.0.0.1:" + std::to_string(first_port + engine))
                    .value(),
                core::zone_name("zone"),
                service.engine->slots},
            core::time_point());
    const auto name_of = [](std::size_t host) {
        return core::host_name("host-" + std::to_string(host));
    };
    for (std::size_t host = 0; host < neighbours; ++host)
        ledger.update_from_neighbour(
            name_of(host), host_report(engines, random), now);
    for (std::size_t group = 0; group < groups; ++group)
        ledger.update_from_group(
            host_group("cell-" + std::to_string(group)),
            report_extent::full,
            group_report(engines, random),
            now);
    const cold_servers cold(1);
    const zone_evacuations evacuations;
    placer chooser(
        directory, ledger, health, slow_servers, limits, cold, evacuations, 1);
    placement_request request;
    request.service = &service;
    request.work = work_size{1, 3000, 3000, 0};
    request.preferred_zone = core::zone_name("zone");
    const double choice = microseconds_each(measured_choices, [&] {
        if (!chooser.choose(request, now))
            std::abort();
    });
    const double report = microseconds_each(measured_reports, [&] {
        ledger.update_from_neighbour(
            name_of(random.below(neighbours)),
            host_report(engines, random),
            now);
    });
    std::cout << "{\"engines\": " << engines << ", \"choice_us\": " << choice
              << ", \"neighbour_word_us\": " << report << "}\n";
}

} // namespace

int main(int argument_count, char** arguments)
{
    const std::string_view option = argument_count > 1 ? arguments[1] : "";
    if (option == "--version") {
        std::cout << "godwit-placement-bench " << GODWIT_VERSION << '\n';
        return 0;
    }
    if (!option.empty()) {
        std::cout << "usage: godwit-placement-bench [--help | --version]\n"
                     "Measures choosing a server and applying a load report.\n";
        return option == "--help" ? 0 : 2;
    }
    for (const std::size_t engines :
         {std::size_t{14}, std::size_t{128}, std::size_t{690}})
        measure(engines);
}
