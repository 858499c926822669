#include <godwit/fakes/program.hpp>

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <utility>

namespace godwit::fakes {

int serve_until_signal(
    boost::asio::io_context& context,
    const std::string& name,
    const http::endpoint& listen,
    http::exchange_handler handler)
{
    http::server_settings settings{listen, {}, {}};
    settings.limits.idle_timeout = std::chrono::minutes(10);
    auto created =
        http::server::create(context, std::move(settings), std::move(handler));
    if (!created) {
        std::cerr << created.error().to_string() << "\n";
        return 1;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const auto&, int) { context.stop(); });
    std::cout << name << "=http://" << (*created)->address().to_string()
              << std::endl;
    context.run();
    return 0;
}

} // namespace godwit::fakes
