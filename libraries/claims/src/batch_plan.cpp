#include "batch_plan.hpp"

#include <godwit/core/hash.hpp>

#include <algorithm>
#include <string>

namespace godwit::claims {

namespace {

// With one writer a zone, this part of the claims' share is the writers';
// the rest is spread over all hosts, for when a writer cannot be reached.
constexpr double writers_part = 0.8;

} // namespace

batch_plan::batch_plan(const claimer_settings& settings)
    : self_(settings.host), zone_(settings.zone), mode_(settings.writer),
      ranges_(settings.key_ranges),
      shared_rate_(settings.log_rate * settings.log_share), hosts_{
                                                                {settings.host},
                                                                1,
                                                                1}
{
    work_out();
}

void batch_plan::set_hosts(const entry_hosts_changed& hosts)
{
    hosts_ = hosts;
    // An empty or outdated list never leaves claims without a writer.
    if (hosts_.zone_hosts.empty())
        hosts_.zone_hosts.push_back(self_);
    hosts_.all_hosts = std::max(hosts_.all_hosts, hosts_.zone_hosts.size());
    hosts_.zones = std::max<std::size_t>(hosts_.zones, 1);
    work_out();
}

void batch_plan::work_out()
{
    writers_.clear();
    for (std::uint32_t range = 0; range < ranges_; ++range) {
        if (mode_ == batch_writer::each_host) {
            writers_.push_back(self_);
            continue;
        }
        const auto name = zone_.value() + "/" + std::to_string(range);
        writers_.push_back(*std::max_element(
            hosts_.zone_hosts.begin(),
            hosts_.zone_hosts.end(),
            [&name](const auto& left, const auto& right) {
                return core::rendezvous_weight(name, left.value()) <
                       core::rendezvous_weight(name, right.value());
            }));
    }
    const auto each = shared_rate_ / static_cast<double>(hosts_.all_hosts);
    if (mode_ == batch_writer::each_host) {
        own_rate_ = each;
        return;
    }
    const auto owned = std::count(writers_.begin(), writers_.end(), self_);
    const auto all_ranges = static_cast<double>(hosts_.zones) * ranges_;
    own_rate_ = each * (1.0 - writers_part) + shared_rate_ * writers_part *
                                                  static_cast<double>(owned) /
                                                  all_ranges;
}

const core::host_name& batch_plan::writer_of(const claim_key& key) const
{
    return writers_[key.range(ranges_)];
}

} // namespace godwit::claims
