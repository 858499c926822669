#include "membership_sweep.hpp"

#include "processor_clock.hpp"
#include "report.hpp"

#include <godwit/membership/pool.hpp>

#include <chrono>
#include <cstdlib>
#include <string>
#include <vector>

namespace godwit::capacity {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t models = 30;
constexpr std::size_t zones = 6;
constexpr std::size_t reports_measured = 20'000;
constexpr std::size_t ticks_measured = 2'000;
constexpr std::size_t lists_measured = 50;

std::string model_name(std::size_t server)
{
    return "model-" + std::to_string(server % models);
}

std::vector<membership::listed_server> make_servers(std::size_t count)
{
    std::vector<membership::listed_server> servers;
    for (std::size_t each = 0; each < count; ++each)
        servers.push_back(
            {core::server_address(
                 "10.1." + std::to_string(each / 250) + "." +
                 std::to_string(each % 250) + ":8000"),
             core::service_name(model_name(each)),
             core::zone_name("zone-" + std::to_string(each / models % zones)),
             membership::listed_state::live});
    return servers;
}

class membership_run
{
public:
    explicit membership_run(std::size_t count)
        : servers_(make_servers(count)),
          pool_(membership::pool::create(
                    {.host = core::host_name("entry-7"),
                     .zone = core::zone_name("zone-1")},
                    1)
                    .value())
    {
        membership::requirements_changed needed;
        for (std::size_t model = 0; model < models; ++model)
            needed.services.push_back(
                {core::service_name(model_name(model)),
                 model_name(model),
                 "",
                 "1"});
        handle(needed);
        handle(membership::host_list_read{servers_});
        for (std::size_t each = 0; each < servers_.size(); ++each)
            report(each);
    }

    void report(std::size_t number)
    {
        const std::size_t which = number % servers_.size();
        handle(membership::load_reported{
            servers_[which].address, {model_name(which)}, {}, "1"});
    }

    void tick() { handle(membership::clock_ticked{}); }

    void read_list() { handle(membership::host_list_read{servers_}); }

private:
    void handle(const membership::event& what)
    {
        now_ += 1ms;
        static_cast<void>(pool_.handle(what, now_));
    }

    std::vector<membership::listed_server> servers_;
    membership::pool pool_;
    core::time_point now_{};
};

template<class Step>
double cost_of(std::size_t repeats, Step step)
{
    const double begin = processor_microseconds();
    for (std::size_t each = 0; each < repeats; ++each)
        step(each);
    return (processor_microseconds() - begin) / static_cast<double>(repeats);
}

} // namespace

void run_membership_sweep()
{
    for (const std::size_t count : {30, 90, 180, 360, 690}) {
        membership_run run(count);
        report_point(
            "membership_report_us",
            count,
            cost_of(reports_measured, [&run](std::size_t each) {
                run.report(each);
            }));
        report_point(
            "membership_tick_us",
            count,
            cost_of(ticks_measured, [&run](std::size_t) { run.tick(); }));
        report_point(
            "membership_list_us",
            count,
            cost_of(lists_measured, [&run](std::size_t) { run.read_list(); }));
    }
}

} // namespace godwit::capacity
