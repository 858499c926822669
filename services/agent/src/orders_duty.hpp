#pragma once

#include "orders_settings.hpp"
#include "pause_watch.hpp"

#include <godwit/catalogue/state.hpp>
#include <godwit/core/result.hpp>
#include <godwit/core/timer.hpp>
#include <godwit/http/connection_pool.hpp>
#include <godwit/http/request.hpp>
#include <godwit/http/response.hpp>
#include <godwit/orders/reconciler.hpp>
#include <godwit/platform/host_list.hpp>
#include <godwit/platform/log_client.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <memory>
#include <vector>

namespace godwit::agent {

/// Carries out what `orders::reconciler` decides: follows the orders stream,
/// appends lease records, reads engines and sends them orders. Called on the
/// control thread only.
class orders_duty : public std::enable_shared_from_this<orders_duty>
{
public:
    /// `client` outlives the duty's last call.
    [[nodiscard]] static core::result<std::shared_ptr<orders_duty>> create(
        const boost::asio::any_io_executor& executor,
        const orders_settings& settings,
        platform::log_client& client);

    /// Looks for a pause; call at least every `pause_limit`.
    void tick();

    /// Another catalogue is in force.
    void take_catalogue(const catalogue::state& content);

    /// A host list was read.
    void take_hosts(const platform::host_list& list);

    /// Does nothing any more.
    void stop();

    [[nodiscard]] const orders::reconciler& reconciler() const noexcept
    {
        return reconciler_;
    }

private:
    orders_duty(
        const boost::asio::any_io_executor& executor,
        const orders_settings& settings,
        orders::reconciler reconciler,
        platform::log_client& client);

    void handle(const orders::reconciler_event& event);
    void look_for_pause();
    void carry_out(const orders::reconciler_event& event);
    void report_leases();
    void sleep();

    void perform(const orders::append_record& action);
    void perform(const orders::read_log& action);
    void perform(const orders::read_engine& action);
    void perform(const orders::send_order& action);
    void perform(const orders::raise_alarm& action);

    boost::asio::awaitable<orders::reconciler_event>
    exchange(orders::read_engine action);
    boost::asio::awaitable<orders::reconciler_event>
    exchange(orders::send_order action);
    boost::asio::awaitable<http::client_result<http::response>>
    fetch(const core::server_address& engine, http::request request);
    void spawn(boost::asio::awaitable<orders::reconciler_event> work);

    boost::asio::any_io_executor executor_;
    core::timer timer_;
    orders_settings settings_;
    orders::reconciler reconciler_;
    platform::log_client& client_;
    pause_watch pause_watch_;
    std::unique_ptr<http::connection_pool> pool_;
    std::vector<orders::pool> pools_;
    std::vector<orders::live_engine> engines_;
    std::vector<core::host_name> entry_hosts_;
    std::size_t held_ = 0;
    bool stopped_ = false;
};

} // namespace godwit::agent
