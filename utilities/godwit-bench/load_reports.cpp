#include "load_reports.hpp"

#include "baseline.hpp"
#include "run_names.hpp"

#include <godwit/dispatch/scheduler.hpp>

#include <chrono>
#include <cstdint>
#include <utility>

namespace godwit::bench {

namespace {

constexpr core::duration report_every = std::chrono::milliseconds(250);

} // namespace

template<entry_policy Policy>
load_reports<Policy>::load_reports(run_state& run, entry_hosts<Policy>& hosts)
    : run_(run), hosts_(hosts)
{}

template<entry_policy Policy>
void load_reports<Policy>::start()
{
    run_.events.schedule(
        core::time_point(report_every), event_kind::sample_load, 0);
}

template<entry_policy Policy>
void load_reports<Policy>::sample()
{
    const core::time_point now = run_.events.now();
    for (std::size_t index = 0; index < run_.engines.size(); ++index) {
        if (!run_.engines[index].alive)
            continue;
        const engine_model& model = run_.engines[index].model;
        send(
            {.server = address_of(index),
             .measured_at = now,
             .running = static_cast<std::uint32_t>(model.running()),
             .waiting = static_cast<std::uint32_t>(model.waiting()),
             .memory_tokens_used = model.memory_used(),
             .memory_tokens_capacity = run_.plan.engine.memory_tokens});
    }
    for (std::size_t index = 0; index < run_.services.size(); ++index) {
        const plain_service& service = run_.services[index];
        send(
            {.server = address_of(run_.engines.size() + index),
             .measured_at = now,
             .running = service.running,
             .waiting = static_cast<std::uint32_t>(service.waiting.size())});
    }
    run_.events.schedule(now + report_every, event_kind::sample_load, 0);
}

template<entry_policy Policy>
void load_reports<Policy>::send(dispatch::load_reported report)
{
    reports_.push_back(std::move(report));
    run_.events.schedule(
        run_.events.now() + run_.settings.report_lag,
        event_kind::deliver_report,
        reports_.size() - 1);
}

template<entry_policy Policy>
void load_reports<Policy>::deliver(std::size_t number)
{
    dispatch::load_reported report = reports_[number];
    if (!run_.settings.variation.advance_reports)
        report.measured_at = run_.events.now();
    hosts_.tell_all(report);
}

template class load_reports<baseline>;
template class load_reports<dispatch::scheduler>;

} // namespace godwit::bench
