#pragma once

#include "order_outcome.hpp"

#include <godwit/core/result.hpp>
#include <godwit/orders/reconciler.hpp>
#include <godwit/platform/log_client.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace godwit::agent {

/// Carries out what `orders::reconciler` decides: leases on the log, engines
/// read and ordered over HTTP. Called on the control thread only.
class orders_duty : public std::enable_shared_from_this<orders_duty>
{
public:
    /// The client outlives the duty's last call.
    [[nodiscard]] static core::result<std::shared_ptr<orders_duty>> create(
        const boost::asio::any_io_executor& executor,
        const orders::reconciler_settings& settings,
        platform::log_client& client);

    /// Begins to follow the stream.
    void start();

    /// Does nothing any more.
    void stop();

    /// Takes one event and carries out what comes of it.
    void handle(const orders::reconciler_event& event);

    [[nodiscard]] const orders::reconciler& reconciler() const noexcept
    {
        return reconciler_;
    }

private:
    orders_duty(
        const boost::asio::any_io_executor& executor,
        const orders::reconciler_settings& settings,
        orders::reconciler reconciler,
        platform::log_client& client);

    void perform(const orders::append_record& action);
    void perform(const orders::read_log& action);
    void perform(const orders::read_engine& action);
    void perform(const orders::send_order& action);
    void perform(const orders::raise_alarm& action);

    void
    order_done(const orders::send_order& action, const order_outcome& outcome);
    void sleep();

    boost::asio::any_io_executor executor_;
    boost::asio::steady_timer timer_;
    orders::reconciler_settings settings_;
    orders::reconciler reconciler_;
    platform::log_client& client_;
    bool stopped_ = false;
};

} // namespace godwit::agent
