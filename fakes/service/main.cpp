#include "service_shell.hpp"

#include <godwit/fakes/option_reader.hpp>
#include <godwit/fakes/program.hpp>

#include <iostream>

namespace {

using godwit::fakes::deduplication;
using godwit::fakes::option_reader;

option_reader describe_options()
{
    return option_reader({
        {"listen", "IP:PORT", "127.0.0.1:0", "address; port 0 chooses one"},
        {"service", "NAME", "service", "the service's name"},
        {"zone", "NAME", "", "availability zone, for the log"},
        {"deduplicates", "yes|no", "no", "run a known key only once"},
    });
}

int run(
    const std::string& service,
    deduplication rule,
    const godwit::http::endpoint& listen)
{
    boost::asio::io_context context(1);
    godwit::fakes::service_shell shell(service, rule);
    return godwit::fakes::serve_until_signal(
        context, "service", listen, [&shell](godwit::http::exchange& current) {
            return shell.handle(current);
        });
}

} // namespace

int main(int argument_count, char** arguments)
{
    option_reader options = describe_options();
    switch (options.read(argument_count, arguments)) {
    case option_reader::request::help:
        std::cout << options.usage(
            "godwit-fake-service", "A stand-in for a plain service.");
        return 0;
    case option_reader::request::version:
        std::cout << "godwit-fake-service " << GODWIT_VERSION << "\n";
        return 0;
    case option_reader::request::wrong_usage:
        return 2;
    case option_reader::request::run:
        break;
    }
    const auto listen = options.address("listen");
    const auto deduplicates = options.flag("deduplicates");
    if (!listen || !deduplicates) {
        std::cerr
            << (!listen ? listen.error() : deduplicates.error()).to_string()
            << "\n";
        return 2;
    }
    const auto rule =
        *deduplicates ? deduplication::by_key : deduplication::none;
    return run(options.text("service"), rule, *listen);
}
