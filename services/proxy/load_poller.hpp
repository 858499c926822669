#pragma once

#include "backend_settings.hpp"
#include "load_report.hpp"

#include <godwit/core/identifiers.hpp>
#include <godwit/core/random.hpp>
#include <godwit/core/result.hpp>
#include <godwit/core/time.hpp>
#include <godwit/http/connection_pool.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace godwit::proxy {

/// Asks backend servers for their load, each on its own jittered beat and
/// never twice at a time. Belongs to the control thread; the questions
/// themselves run on a strand of the traffic threads.
class load_poller
{
public:
    /// Takes an answer on the control thread.
    using listener = std::function<void(
        const core::server_address&, const core::result<load_report>&)>;

    load_poller(
        boost::asio::io_context& traffic,
        boost::asio::any_io_executor control,
        const backend_settings& settings,
        std::uint64_t seed,
        listener on_answer);

    ~load_poller();
    load_poller(const load_poller&) = delete;
    load_poller& operator=(const load_poller&) = delete;

    /// From now on these servers are asked, and no others.
    void set_servers(const std::set<core::server_address>& servers);

    /// Asks the server now, whether it is one of those or not.
    void ask(const core::server_address& server);

    /// Whether every one of the servers was asked and answered or failed.
    [[nodiscard]] bool has_heard_of_all() const;

    /// Asks those that are due.
    void tick(core::time_point now);

private:
    struct beat
    {
        core::time_point due;
        bool is_heard = false;
    };

    [[nodiscard]] core::duration interval() const;

    boost::asio::any_io_executor control_;
    backend_settings settings_;
    core::random random_;
    listener on_answer_;
    std::map<core::server_address, beat> beats_;
    std::set<core::server_address> asked_;
    std::shared_ptr<http::connection_pool> connections_;
    // Answers that come after the end find nobody.
    std::shared_ptr<load_poller*> self_;
};

} // namespace godwit::proxy
