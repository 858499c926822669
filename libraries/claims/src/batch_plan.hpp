#pragma once

#include <godwit/claims/claimer_event.hpp>
#include <godwit/claims/claimer_settings.hpp>

namespace godwit::claims {

/// Which entry host appends the claims of a key, and at what rate this one
/// may append, by rendezvous hashing over the live entry hosts of the zone.
class batch_plan
{
public:
    explicit batch_plan(const claimer_settings& settings);

    /// Takes the live hosts.
    void set_hosts(const entry_hosts_changed& hosts);

    /// The batch writer for `key`. Hosts that disagree only cost an append.
    [[nodiscard]] const core::host_name& writer_of(const claim_key& key) const;

    /// Appends a second that this host may use.
    [[nodiscard]] double own_rate() const noexcept { return own_rate_; }

private:
    void work_out();

    const core::host_name self_;
    const core::zone_name zone_;
    const batch_writer mode_;
    const std::uint32_t ranges_;
    const double shared_rate_;
    entry_hosts_changed hosts_;
    std::vector<core::host_name> writers_;
    double own_rate_ = 1.0;
};

} // namespace godwit::claims
