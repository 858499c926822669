// Measures one choice of a backend server, and what a neighbour's word costs,
// against the number of engines. One line of JSON a size.

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
constexpr std::size_t measured_words = 4000;
// A cell is full with 32 hosts; a fleet of 300 has about ten cells.
constexpr std::size_t neighbours = 31;
constexpr std::size_t groups = 9;
// Streams of one host, each at an engine of its own.
constexpr std::size_t streams_a_host = 3;

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

std::vector<server_work> host_word(std::size_t engines, core::random& random)
{
    std::vector<server_work> word;
    for (std::size_t stream = 0; stream < streams_a_host; ++stream)
        word.push_back({engine_id(random.below(engines)), some_work(random)});
    return word;
}

std::vector<server_work> group_word(std::size_t engines, core::random& random)
{
    std::vector<server_work> word;
    for (std::size_t engine = 0; engine < engines; ++engine)
        word.push_back({engine_id(engine), some_work(random)});
    return word;
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
    slow_server_detector paces;
    const server_limits limits;
    routing::service service;
    service.name = core::service_name("lm");
    service.engine = routing::engine_profile{
        .slots = 24, .memory_tokens = 34'000, .tokens_per_event = 4};
    for (std::size_t engine = 0; engine < engines; ++engine)
        directory.listed(
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
            name_of(host), host_word(engines, random), now);
    for (std::size_t group = 0; group < groups; ++group)
        ledger.update_from_group(
            host_group("cell-" + std::to_string(group)),
            report_extent::full,
            group_word(engines, random),
            now);
    placer chooser(directory, ledger, health, paces, limits, 1);
    placement_request wanted;
    wanted.service = &service;
    wanted.work = work_size{1, 3000, 3000, 0};
    wanted.preferred_zone = core::zone_name("zone");
    const double choice = microseconds_each(measured_choices, [&] {
        if (!chooser.choose(wanted, now))
            std::abort();
    });
    const double word = microseconds_each(measured_words, [&] {
        ledger.update_from_neighbour(
            name_of(random.below(neighbours)), host_word(engines, random), now);
    });
    std::cout << "{\"engines\": " << engines << ", \"choice_us\": " << choice
              << ", \"neighbour_word_us\": " << word << "}\n";
}

} // namespace

int main(int argument_count, char** arguments)
{
    const std::string_view wanted = argument_count > 1 ? arguments[1] : "";
    if (wanted == "--version") {
        std::cout << "godwit-placement-bench " << GODWIT_VERSION << '\n';
        return 0;
    }
    if (!wanted.empty()) {
        std::cout << "usage: godwit-placement-bench [--help | --version]\n"
                     "Measures a choice of a server and a neighbour's word.\n";
        return wanted == "--help" ? 0 : 2;
    }
    for (const std::size_t engines :
         {std::size_t{14}, std::size_t{128}, std::size_t{690}})
        measure(engines);
}
