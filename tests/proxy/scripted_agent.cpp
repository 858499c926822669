#include "scripted_agent.hpp"

#include <godwit/core/time.hpp>
#include <godwit/wire/protocol.hpp>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <chrono>
#include <stdexcept>
#include <utility>
#include <variant>

namespace godwit::proxy::test {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds longest_wait{30};
constexpr std::chrono::minutes start_window{1};

wire::hello introduction()
{
    wire::hello self;
    self.version = wire::protocol_version;
    self.role = wire::peer_role::agent;
    self.host = core::host_name("entry-1");
    self.zone = core::zone_name("zone-a");
    self.incarnation = core::incarnation_id("agent-1");
    return self;
}

} // namespace

scripted_agent::scripted_agent()
{
    wire::link_handlers handlers;
    handlers.on_open = [this](const auto&, const auto&) {
        const std::scoped_lock lock(mutex_);
        ++links_;
        changed_.notify_all();
    };
    handlers.on_message = [this](const auto& link, const auto& value) {
        on_message(link, value);
    };
    acceptor_ = wire::acceptor::create(
                    context_.get_executor(),
                    {asio::ip::make_address("127.0.0.1"), 0},
                    {},
                    introduction,
                    std::move(handlers))
                    .value();
    address_ = "127.0.0.1:" + std::to_string(acceptor_->endpoint().port());
    acceptor_->start();
    thread_ = std::thread([this] { context_.run(); });
}

scripted_agent::~scripted_agent()
{
    context_.stop();
    thread_.join();
}

void scripted_agent::on_message(
    const std::shared_ptr<wire::link>& link, const wire::message& value)
{
    const std::scoped_lock lock(mutex_);
    if (const auto* question = std::get_if<wire::claim_request>(&value)) {
        link->send(answer_to(*question));
    } else if (const auto* release = std::get_if<wire::claim_release>(&value)) {
        claims_.erase(release->key);
        ++releases_;
    } else if (const auto* end = std::get_if<wire::claim_finished>(&value)) {
        auto& known = claims_[end->key];
        known.ended = true;
        known.outcome = end->outcome;
        ++ends_;
    }
    changed_.notify_all();
}

wire::claim_answer
scripted_agent::answer_to(const wire::claim_request& question)
{
    wire::claim_answer answer;
    answer.ask = question.ask;
    answer.retry_after_ms = 3000;
    if (log_down_)
        return answer;
    const auto [found, is_first] =
        claims_.try_emplace(question.key, claim{question, next_offset_});
    const claim& known = found->second;
    answer.offset = known.offset;
    answer.holder = known.first.holder;
    answer.outcome = known.outcome;
    const auto start_before = core::monotonic_now() + start_window;
    answer.start_before_us = start_before.time_since_epoch().count();
    if (is_first) {
        ++next_offset_;
        answer.verdict = wire::claim_verdict::won;
    } else if (known.first.fingerprint != question.fingerprint) {
        answer.verdict = wire::claim_verdict::key_reused;
    } else {
        answer.verdict = known.ended ? wire::claim_verdict::finished
                                     : wire::claim_verdict::held;
    }
    return answer;
}

void scripted_agent::tell(wire::message value)
{
    asio::post(context_, [this, value = std::move(value)] {
        // A send may close a link, which changes the set.
        const auto links = acceptor_->links();
        for (const auto& link : links)
            link->send(value);
    });
}

void scripted_agent::set_log_down(bool down)
{
    const std::scoped_lock lock(mutex_);
    log_down_ = down;
}

template<class Condition>
void scripted_agent::wait_until(Condition holds)
{
    std::unique_lock lock(mutex_);
    if (!changed_.wait_for(lock, longest_wait, holds))
        throw std::runtime_error("the agent waited in vain for 30 s");
}

void scripted_agent::wait_for_links(std::size_t count)
{
    wait_until([this, count] { return links_ >= count; });
}

void scripted_agent::wait_for_release()
{
    wait_until([this] { return releases_ > 0; });
}

void scripted_agent::wait_for_end()
{
    wait_until([this] { return ends_ > 0; });
}

} // namespace godwit::proxy::test
