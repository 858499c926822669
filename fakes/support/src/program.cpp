#include <godwit/fakes/program.hpp>

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <utility>

namespace godwit::fakes {

namespace {

constexpr int wrong_usage_code = 2;

} // namespace

int run_program(
    const program_description& program,
    std::vector<option_description> options,
    int argument_count,
    char** arguments,
    const program_body& body)
{
    options.insert(
        options.begin(),
        {"listen", "IP:PORT", "127.0.0.1:0", "address; port 0 chooses one"});
    option_reader reader(std::move(options));
    switch (reader.read(argument_count, arguments)) {
    case option_reader::request::help:
        std::cout << reader.usage(program.name, program.purpose);
        return 0;
    case option_reader::request::version:
        std::cout << program.name << " " << program.version << "\n";
        return 0;
    case option_reader::request::wrong_usage:
        return wrong_usage_code;
    case option_reader::request::run:
        break;
    }
    const auto code = reader.address("listen").and_then(
        [&](const http::endpoint& listen) { return body(reader, listen); });
    if (!code) {
        std::cerr << code.error().to_string() << "\n";
        return wrong_usage_code;
    }
    return *code;
}

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
