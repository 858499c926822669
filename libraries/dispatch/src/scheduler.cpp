#include <godwit/dispatch/scheduler.hpp>

#include "scheduler_implementation.hpp"

#include <utility>

namespace godwit::dispatch {

core::result<scheduler> scheduler::create(scheduler_settings settings)
{
    constexpr std::uint32_t most_candidates = 64;
    if (settings.candidates < 1 || settings.candidates > most_candidates) {
        return core::fail(
            core::error_kind::invalid_input,
            "candidates is out of its range",
            "set it to a number from 1 to 64");
    }
    if (!(settings.length_quantile > 0.0 && settings.length_quantile < 1.0)) {
        return core::fail(
            core::error_kind::invalid_input,
            "length_quantile is out of its range",
            "set it to a number above 0 and below 1");
    }
    return scheduler(std::make_unique<implementation>(std::move(settings)));
}

scheduler::scheduler(std::unique_ptr<implementation> state)
    : implementation_(std::move(state))
{}

scheduler::scheduler(scheduler&& other) noexcept = default;
scheduler& scheduler::operator=(scheduler&& other) noexcept = default;
scheduler::~scheduler() = default;

std::vector<action> scheduler::handle(const event& input, core::time_point now)
{
    return implementation_->handle(input, now);
}

scheduler_state scheduler::state() const
{
    return implementation_->state();
}

} // namespace godwit::dispatch
