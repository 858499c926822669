#pragma once

#include "agent_link.hpp"
#include "answer_store.hpp"
#include "claimed_run.hpp"

#include <godwit/claims/claim_key.hpp>
#include <godwit/claims/request_fingerprint.hpp>
#include <godwit/core/identifiers.hpp>
#include <godwit/core/outcome.hpp>
#include <godwit/wire/claim_answer.hpp>
#include <godwit/wire/claim_holder.hpp>
#include <godwit/wire/message.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>

namespace godwit::proxy {

/// Asks the agent for claims on behalf of requests that may not be repeated.
/// The public members may be called on any thread.
class claim_client
{
public:
    /// Takes the one answer, on the control thread.
    using listener = std::function<void(const wire::claim_answer&)>;

    /// `agent` may be null: then no claim can be had. The arguments outlive
    /// the object.
    claim_client(
        boost::asio::io_context& control,
        agent_link* agent,
        answer_store& answers,
        wire::claim_holder self);

    /// Asks whether `run` may run the request. Where it is won, the run is
    /// in the store before the listener hears of it.
    void
    ask(const claims::claim_key& key,
        const claims::request_fingerprint& request,
        const core::request_id& run,
        listener on_answer);

    /// The request did not and will not run here.
    void release(const claimed_run& claim);

    /// The run under a won claim ended.
    void finished(
        const claimed_run& claim,
        core::outcome outcome,
        std::uint64_t answer_digest);

    /// Another host says that this process holds the claim at `position`,
    /// and no run began under it: gives the claim back, unless an ask for
    /// the key is under way.
    void release_if_idle(
        const claims::claim_key& key,
        const claims::request_fingerprint& request,
        claims::claim_position position);

    [[nodiscard]] const wire::claim_holder& self() const noexcept
    {
        return self_;
    }

private:
    struct open_ask
    {
        claims::claim_key key;
        claims::request_fingerprint request;
        core::request_id run;
        listener on_answer;
    };

    void on_message(const wire::message& value);
    void on_answer(wire::claim_answer answer);
    void on_link_gone();
    void send_or_keep(wire::message value);
    void send_kept();

    boost::asio::io_context& control_;
    agent_link* agent_;
    answer_store& answers_;
    wire::claim_holder self_;
    std::uint64_t next_ask_ = 1;
    std::map<std::uint64_t, open_ask> asks_;
    /// Ends and releases that wait for the link. At the bound the oldest is
    /// dropped: its key then stays held until the log forgets it, which is
    /// safe.
    std::deque<wire::message> kept_;
};

} // namespace godwit::proxy
