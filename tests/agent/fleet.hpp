#pragma once

#include "test_proxy.hpp"

#include "agent.hpp"
#include "engine_shell.hpp"
#include "platform_shell.hpp"

#include <godwit/core/time.hpp>
#include <godwit/http/server.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace godwit::agent {

/// A stand-in platform and agents, all on one thread.
class fleet
{
public:
    fleet();
    ~fleet();

    /// Starts an agent "host-INDEX" and enters it into the host list, unless
    /// `platform` names another address, which it then takes for the
    /// platform's. Its index.
    std::size_t add_agent(
        const std::string& zone,
        const std::string& platform = "",
        const std::vector<std::string>& seeds = {});

    /// Ends an agent and starts another one of its name in its place.
    void restart_agent(std::size_t index);

    void stop_agent(std::size_t index);

    /// A proxy of the agent's host that keeps `content`.
    std::unique_ptr<test_proxy>
    add_proxy(std::size_t index, catalogue::state_pointer content);

    [[nodiscard]] agent& at(std::size_t index) { return *agents_.at(index); }

    /// Appends a change of one new organisation to the log; the offset that
    /// leads to it.
    std::uint64_t publish();

    /// Appends this record to the catalogue's stream; the offset that leads
    /// to it.
    std::uint64_t publish(const std::string& record);

    /// Sets switches of the stand-in, as JSON.
    void set_faults(const std::string& json);

    /// Stops and starts the platform's server on its address.
    void stop_platform();
    void start_platform();

    /// Enters a host into the host list.
    void list_host(const std::string& address, const std::string& json);

    /// GET of a path anywhere.
    http::response get(const http::endpoint& server, const std::string& path);

    /// Starts an engine of this service and enters it into the host list.
    http::endpoint add_engine(const std::string& service, bool checks_fencing);

    /// Runs until `condition` holds; fails the test after a long time.
    void wait_until(const std::function<bool()>& condition);

    /// Waits until these agents have the catalogue up to `next_offset`.
    void
    wait_for(std::uint64_t next_offset, const std::vector<std::size_t>& agents);

    [[nodiscard]] std::string platform_address() const;

    [[nodiscard]] boost::asio::io_context& context() { return context_; }

    /// GET of a path at an agent's operators' address.
    http::response get(std::size_t index, const std::string& path);

private:
    [[nodiscard]] agent_settings make_settings(
        std::size_t index,
        const std::string& zone,
        const std::string& platform,
        const std::vector<std::string>& seeds) const;
    void enter(std::size_t index);
    http::response
    exchange(const http::endpoint& server, http::request request);

    boost::asio::io_context context_;
    std::unique_ptr<fakes::platform_shell> shell_;
    std::unique_ptr<http::server> platform_;
    http::endpoint platform_address_;
    std::vector<std::unique_ptr<fakes::engine_shell>> engine_shells_;
    std::vector<std::unique_ptr<http::server>> engine_servers_;
    std::vector<agent_settings> settings_;
    std::vector<std::unique_ptr<agent>> agents_;
    std::uint64_t published_ = 0;
};

} // namespace godwit::agent
