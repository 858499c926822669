#include "test_proxy.hpp"

#include <godwit/catalogue/checkpoint_codec.hpp>
#include <godwit/catalogue/fold.hpp>

#include <boost/asio/io_context.hpp>

#include <utility>

namespace godwit::agent {

test_proxy::test_proxy(
    boost::asio::io_context& context,
    const boost::asio::ip::tcp::endpoint& agent,
    catalogue::state_pointer content)
    : content_(std::move(content))
{
    wire::link_handlers handlers;
    handlers.on_open = [this](const auto&, const auto&) {
        report();
    };
    handlers.on_message = [this](const auto&, const auto& value) {
        take(value);
    };
    handlers.on_close = [this](const auto&, const auto&) {
        ++closed;
    };
    connector_ = wire::connector::create(
                     context.get_executor(),
                     agent,
                     {},
                     [] {
                         wire::hello self;
                         self.role = wire::peer_role::proxy;
                         self.host = core::host_name("proxy");
                         return self;
                     },
                     handlers,
                     1)
                     .value();
    connector_->start();
}

test_proxy::~test_proxy()
{
    connector_->stop();
}

void test_proxy::report()
{
    connector_->send(
        wire::catalogue_position{content_->next_offset(), content_->hash()});
}

void test_proxy::take(const wire::message& value)
{
    if (const auto* part = std::get_if<wire::catalogue_snapshot>(&value))
        apply(*part);
    else if (const auto* change = std::get_if<wire::catalogue_change>(&value))
        apply(*change);
    else if (const auto* view = std::get_if<wire::backend_servers>(&value))
        servers = *view;
    else if (const auto* sign = std::get_if<wire::server_sign>(&value))
        signs.push_back(*sign);
    else if (const auto* answer = std::get_if<wire::claim_answer>(&value))
        answers.push_back(*answer);
}

void test_proxy::apply(const wire::catalogue_snapshot& part)
{
    if (part.chunk_index == 0)
        parts_.clear();
    parts_.push_back(part.content);
    if (parts_.size() < part.chunk_count)
        return;
    ++snapshots;
    auto read = catalogue::read_checkpoint(parts_).value();
    if (read->next_offset() < content_->next_offset())
        ++reverts;
    else
        content_ = std::move(read);
    report();
}

void test_proxy::apply(const wire::catalogue_change& change)
{
    if (change.offset < content_->next_offset())
        ++reverts;
    const bool refused = std::exchange(refuse_, false);
    if (!refused && change.offset == content_->next_offset()) {
        ++changes;
        content_ = catalogue::fold(
                       content_, {change.offset, change.time_ms, change.record})
                       .next;
    }
    report();
}

} // namespace godwit::agent
