#include "class_queue.hpp"

#include "organisation_table.hpp"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <utility>

namespace godwit::dispatch {

class_queue::class_queue(class_policy limits, organisation_table& organisations)
    : limits_(std::move(limits)), organisations_(&organisations)
{}

flow& class_queue::flow_of(organisation_account& account)
{
    const auto [found, added] = flows_.try_emplace(account.name());
    flow& result = found->second;
    if (added) {
        result.account = &account;
        result.queue = this;
        result.number = next_number_++;
        ++account.flow_count;
    }
    debtors_.erase(position_of(result));
    return result;
}

void class_queue::activate(flow& flow)
{
    flow.served = std::max(flow.served, virtual_time_);
    active_.insert(position_of(flow));
}

void class_queue::push(tracked_request& request, core::time_point now)
{
    drain_.advance(now, size_ > 0);
    flow& flow = *request.owner;
    const bool was_empty = flow.waiting.empty();
    flow.waiting.emplace(request.sequence, &request);
    ++size_;
    if (was_empty && !flow.suspended)
        activate(flow);
}

void class_queue::remove(
    tracked_request& request, core::time_point now, bool started)
{
    drain_.advance(now, size_ > 0);
    flow& flow = *request.owner;
    const bool found = flow.waiting.erase(request.sequence) > 0;
    assert(found);
    static_cast<void>(found);
    --size_;
    if (started) {
        drain_.started();
        ++flow.running;
    }
    if (!flow.waiting.empty())
        return;
    if (flow.suspended) {
        std::erase(flow.account->suspended, &flow);
        flow.suspended = false;
    }
    active_.erase(position_of(flow));
    forget_if_idle(flow, now);
}

tracked_request* class_queue::next(core::time_point now)
{
    while (!active_.empty()) {
        flow& flow = *active_.begin()->flow;
        tracked_request& request = *flow.waiting.begin()->second;
        if (flow.account->allows(request.arrival.kind, now)) {
            advance_virtual_time(flow.served, now);
            return &request;
        }
        active_.erase(active_.begin());
        organisations_->suspend(flow, now);
    }
    return nullptr;
}

void class_queue::resume(flow& flow)
{
    if (!flow.suspended)
        return;
    flow.suspended = false;
    activate(flow);
}

void class_queue::charge(flow& flow, double tokens)
{
    served += tokens / limits_.weight;
    const bool active = active_.erase(position_of(flow)) > 0;
    flow.served += tokens;
    if (active)
        active_.insert(position_of(flow));
}

void class_queue::release(flow& flow, core::time_point now)
{
    assert(flow.running > 0);
    --flow.running;
    forget_if_idle(flow, now);
}

void class_queue::forget_if_idle(flow& flow, core::time_point now)
{
    if (!flow.waiting.empty() || flow.running > 0)
        return;
    if (flow.served <= virtual_time_) {
        forget(flow, now);
        return;
    }
    debtors_.insert(position_of(flow));
    if (debtors_.size() == flows_.size()) {
        // Nobody is left to catch up with.
        advance_virtual_time(debtors_.rbegin()->served, now);
        return;
    }
    if (debtors_.size() > max_debtors) {
        dispatch::flow& least = *debtors_.begin()->flow;
        debtors_.erase(debtors_.begin());
        forget(least, now);
    }
}

void class_queue::forget(flow& flow, core::time_point now)
{
    organisation_account& account = *flow.account;
    flows_.erase(core::organisation_name(account.name()));
    organisations_->release_flow(account, now);
}

void class_queue::advance_virtual_time(double reached, core::time_point now)
{
    virtual_time_ = std::max(virtual_time_, reached);
    while (!debtors_.empty() && debtors_.begin()->served <= virtual_time_) {
        flow& caught_up = *debtors_.begin()->flow;
        debtors_.erase(debtors_.begin());
        forget(caught_up, now);
    }
}

std::optional<core::duration> class_queue::expected_wait(const flow& flow) const
{
    // Organisations take turns, so a request waits for its own flow's
    // length times the flows, but never for more than the whole queue.
    const std::size_t flows = active_.size() + (flow.suspended ? 1U : 0U);
    const std::size_t starts = std::min(size_, flow.waiting.size() * flows);
    // Alone it may start at once; behind others its own start counts too.
    if (starts <= 1)
        return core::duration::zero();
    const auto rate = drain_.rate();
    if (!rate)
        return std::nullopt;
    constexpr double slowest = 1e-3;
    const std::chrono::duration<double> wait(
        static_cast<double>(starts) / std::max(*rate, slowest));
    return std::chrono::ceil<core::duration>(wait);
}

} // namespace godwit::dispatch
