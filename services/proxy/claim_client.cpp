#include "claim_client.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace godwit::proxy {

namespace asio = boost::asio;

namespace {

constexpr std::size_t most_kept = 4096;
constexpr std::size_t most_asks = 4096;
constexpr std::uint32_t retry_after_ms = 1000;

wire::claim_answer unavailable()
{
    wire::claim_answer answer;
    answer.verdict = wire::claim_verdict::unavailable;
    answer.retry_after_ms = retry_after_ms;
    return answer;
}

wire::claim_release
release_of(const claims::claim_key& key, claims::claim_position position)
{
    return {key.to_string(), position.offset, position.index};
}

} // namespace

claim_client::claim_client(
    asio::io_context& control,
    agent_link* agent,
    answer_store& answers,
    wire::claim_holder self)
    : control_(control), agent_(agent), answers_(answers),
      self_(std::move(self))
{
    if (agent_ == nullptr)
        return;
    agent_->set_claim_listener(
        [this](const wire::message& value) { on_message(value); },
        [this] { on_link_gone(); });
}

void claim_client::ask(
    const claims::claim_key& key,
    const claims::request_fingerprint& request,
    const core::request_id& run,
    listener on_answer)
{
    asio::post(
        control_,
        [this,
         ask = open_ask{key, request, run, std::move(on_answer)}]() mutable {
            const auto number = next_ask_++;
            const wire::claim_request question{
                number, ask.key.to_string(), ask.request.to_string(), self_};
            if (agent_ == nullptr || asks_.size() >= most_asks ||
                !agent_->send(question)) {
                ask.on_answer(unavailable());
                return;
            }
            asks_.emplace(number, std::move(ask));
        });
}

void claim_client::on_message(const wire::message& value)
{
    if (const auto* answer = std::get_if<wire::claim_answer>(&value))
        on_answer(*answer);
    send_kept();
}

void claim_client::on_answer(wire::claim_answer answer)
{
    const auto found = asks_.find(answer.ask);
    if (found == asks_.end())
        return;
    const open_ask ask = std::move(found->second);
    asks_.erase(found);
    if (answer.verdict == wire::claim_verdict::won) {
        const auto begun = answers_.begin(
            ask.key, ask.request, {answer.offset, answer.index}, ask.run);
        if (!begun) {
            send_or_keep(release_of(ask.key, {answer.offset, answer.index}));
            answer = unavailable();
        }
    }
    ask.on_answer(answer);
}

// An answer may have been on its way. Whoever asks again under the key finds
// this process as the holder, and `release_if_idle` gives the claim back.
void claim_client::on_link_gone()
{
    for (auto& [number, ask] : std::exchange(asks_, {}))
        ask.on_answer(unavailable());
}

void claim_client::release(const claimed_run& claim)
{
    asio::post(control_, [this, claim] {
        answers_.abandon(claim.key);
        send_or_keep(release_of(claim.key, claim.position));
    });
}

void claim_client::finished(
    const claimed_run& claim,
    core::outcome outcome,
    std::uint64_t answer_digest)
{
    asio::post(control_, [this, claim, outcome, answer_digest] {
        send_or_keep(wire::claim_finished{
            claim.key.to_string(),
            claim.position.offset,
            claim.position.index,
            claim.request.to_string(),
            claim.holder,
            outcome,
            answer_digest});
    });
}

void claim_client::release_if_idle(
    const claims::claim_key& key,
    const claims::request_fingerprint& request,
    claims::claim_position position)
{
    asio::post(control_, [this, key, request, position] {
        const bool is_asked =
            std::any_of(asks_.begin(), asks_.end(), [&key](const auto& each) {
                return each.second.key == key;
            });
        // Runs begin on this thread, so nothing can begin in between.
        const auto known = answers_.find(key, request, position);
        if (!is_asked && std::holds_alternative<claims::run_not_started>(known))
            send_or_keep(release_of(key, position));
    });
}

void claim_client::send_or_keep(wire::message value)
{
    if (agent_ == nullptr)
        return;
    send_kept();
    if (kept_.empty() && agent_->send(value))
        return;
    if (kept_.size() >= most_kept)
        kept_.pop_front();
    kept_.push_back(std::move(value));
}

void claim_client::send_kept()
{
    while (!kept_.empty() && agent_->send(kept_.front()))
        kept_.pop_front();
}

} // namespace godwit::proxy
