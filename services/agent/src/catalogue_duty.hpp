#pragma once

#include "catalogue_duty_handlers.hpp"
#include "log_settings.hpp"
#include "peer_links.hpp"
#include "proxy_feed.hpp"
#include "snapshot_assembly.hpp"

#include <godwit/catalogue/follower.hpp>
#include <godwit/core/result.hpp>
#include <godwit/platform/log_client.hpp>
#include <godwit/wire/message.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace godwit::agent {

/// Carries out what `catalogue::follower` decides: reads and appends to the
/// log, talks to peers, feeds the proxies. Called on the control thread only.
class catalogue_duty : public std::enable_shared_from_this<catalogue_duty>
{
public:
    /// The references outlive the duty's last call.
    [[nodiscard]] static core::result<std::shared_ptr<catalogue_duty>> create(
        boost::asio::any_io_executor executor,
        const catalogue::follower_settings& settings,
        const log_settings& log,
        platform::log_client& client,
        peer_links& peers,
        proxy_feed& proxies,
        catalogue_duty_handlers handlers);

    /// Takes one event and carries out what comes of it.
    void handle(const catalogue::follower_event& event);

    /// Wanted about every 100 ms; the time is the host's, since 1970.
    void tick(std::uint64_t wall_time_ms);

    /// Takes a peer's message; false if it is not of this duty.
    bool received(const core::host_name& peer, const wire::message& value);

    void peer_opened(const core::host_name& peer);
    void peer_closed(const core::host_name& peer);

    [[nodiscard]] const catalogue::follower& follower() const noexcept
    {
        return follower_;
    }

    /// Does nothing any more.
    void stop() { stopped_ = true; }

private:
    catalogue_duty(
        boost::asio::any_io_executor executor,
        catalogue::follower follower,
        const log_settings& log,
        platform::log_client& client,
        peer_links& peers,
        proxy_feed& proxies,
        catalogue_duty_handlers handlers);

    void perform(const catalogue::read_log& action);
    void perform(const catalogue::pull_from_peer& action);
    void perform(const catalogue::send_digest& action);
    void perform(const catalogue::send_records& action);
    void perform(const catalogue::send_snapshot& action);
    void perform(const catalogue::publish_snapshot& action);
    void perform(const catalogue::report_verdict& action);
    void perform(const catalogue::raise_alarm& action);
    void perform(const catalogue::clear_alarm& action);
    void perform(const catalogue::append_records& action);
    void perform(const catalogue::become_ready& action);

    void ask(const core::host_name& peer);
    void read(std::uint64_t from, std::uint32_t limit);
    void log_answered(
        std::uint64_t from,
        std::uint32_t limit,
        core::result<platform::log_page> page);
    void append_next(std::shared_ptr<std::vector<std::string>> records);

    void take(const core::host_name& peer, const wire::digest& value);
    void take(const core::host_name& peer, const wire::pull& value);
    void take(const core::host_name& peer, const wire::records& value);
    void
    take(const core::host_name& peer, const wire::catalogue_snapshot& value);

    boost::asio::any_io_executor executor_;
    catalogue::follower follower_;
    log_settings log_;
    platform::log_client& client_;
    peer_links& peers_;
    proxy_feed& proxies_;
    catalogue_duty_handlers handlers_;
    std::map<core::host_name, snapshot_assembly> assemblies_;
    // Of the event at hand, for the history of changes.
    std::vector<catalogue::record> offered_;
    std::uint64_t offered_before_ = 0;
    core::time_point asked_at_{};
    bool stopped_ = false;
};

} // namespace godwit::agent
