#pragma once

#include <godwit/catalogue/state.hpp>
#include <godwit/wire/backend_servers.hpp>
#include <godwit/wire/claim_answer.hpp>
#include <godwit/wire/connector.hpp>
#include <godwit/wire/server_sign.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace godwit::agent {

/// The proxy's end of its agent's feed: folds what it is sent.
class test_proxy
{
public:
    test_proxy(
        boost::asio::io_context& context,
        const boost::asio::ip::tcp::endpoint& agent,
        catalogue::state_pointer content);
    ~test_proxy();

    [[nodiscard]] const catalogue::state_pointer& content() const
    {
        return content_;
    }

    /// Says that it cannot apply the next change, once.
    void refuse_next_change() { refuse_ = true; }

    void send(const wire::message& value) { connector_->send(value); }

    [[nodiscard]] bool connected() const
    {
        return connector_->current() != nullptr;
    }

    std::size_t snapshots = 0;
    std::size_t changes = 0;
    /// How often it was sent an older catalogue than it had.
    std::size_t reverts = 0;
    wire::backend_servers servers;
    std::vector<wire::server_sign> signs;
    std::vector<wire::claim_answer> answers;
    /// How often its link was closed.
    std::size_t closed = 0;

private:
    void take(const wire::message& value);
    void apply(const wire::catalogue_snapshot& part);
    void apply(const wire::catalogue_change& change);
    void report();

    catalogue::state_pointer content_;
    std::vector<std::string> parts_;
    std::shared_ptr<wire::connector> connector_;
    bool refuse_ = false;
};

} // namespace godwit::agent
