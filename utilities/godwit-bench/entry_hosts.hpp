#pragma once

#include "entry_host.hpp"
#include "run_state.hpp"

#include <godwit/dispatch/action.hpp>
#include <godwit/dispatch/event.hpp>

#include <cstddef>
#include <functional>
#include <vector>

namespace godwit::bench {

/// The entry hosts of a run: what each is told, and what its policy does
/// with the requests that it owns.
template<entry_policy Policy>
class entry_hosts
{
public:
    using policy_factory = std::function<Policy(std::size_t host)>;

    /// `run` outlives the hosts.
    entry_hosts(run_state& run, const policy_factory& make_policy);

    /// Tells every host its policy and its servers, and begins its ticks.
    void start();

    void tell(std::size_t host, const dispatch::event& event);
    void tell_all(const dispatch::event& event);
    void tell_servers();

    /// The tokens since the last tick, and a tick.
    void tick(std::size_t host);

    /// The owner takes a request.
    void enter(simulated_request& request);

    /// A start came to nothing; the owner is asked anew.
    void fail_start(simulated_request& request);

    /// A request that was sent is over.
    void
    end(simulated_request& request,
        request_stage stage,
        dispatch::end_reason reason);

    /// The caller goes if it still waits for its first token.
    void run_out_of_patience(simulated_request& request);

    [[nodiscard]] std::size_t zone_of(std::size_t host) const
    {
        return hosts_[host].zone;
    }

    /// Requests in a host's hands, as of its last tick.
    [[nodiscard]] std::size_t told_in_hand(std::size_t host) const
    {
        return hosts_[host].told_in_hand;
    }

private:
    void act(std::size_t host, const dispatch::start_request& action);
    void act(std::size_t host, const dispatch::refuse_request& action);
    void act(std::size_t host, const dispatch::raise_priority& action);
    void remove_active(const simulated_request& request);

    run_state& run_;
    std::vector<entry_host<Policy>> hosts_;
};

} // namespace godwit::bench
