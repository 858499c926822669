#include "platform_shell.hpp"

#include <godwit/fakes/option_reader.hpp>
#include <godwit/fakes/program.hpp>

#include <iostream>

namespace {

using godwit::fakes::option_reader;
using godwit::fakes::platform_settings;

option_reader describe_options()
{
    return option_reader({
        {"listen", "IP:PORT", "127.0.0.1:0", "address; port 0 chooses one"},
        {"appends-per-second", "N", "300", "in all streams"},
        {"retention-ms", "N", "3600000", "how long records are kept"},
        {"retention-records", "N", "100000", "records kept of a stream"},
        {"host-list-lag-ms", "N", "500", "age of the host list"},
    });
}

godwit::core::result<platform_settings> read_settings(const option_reader& from)
{
    platform_settings settings;
    settings.appends_per_second = GODWIT_TRY(from.number("appends-per-second"));
    settings.retention_time =
        std::chrono::milliseconds(GODWIT_TRY(from.number("retention-ms")));
    settings.retention_records = GODWIT_TRY(from.number("retention-records"));
    settings.host_list_lag =
        std::chrono::milliseconds(GODWIT_TRY(from.number("host-list-lag-ms")));
    return settings;
}

int run(const platform_settings& settings, const godwit::http::endpoint& listen)
{
    boost::asio::io_context context(1);
    godwit::fakes::platform_shell shell(context.get_executor(), settings);
    return godwit::fakes::serve_until_signal(
        context, "platform", listen, [&shell](godwit::http::exchange& current) {
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
            "godwit-fake-platform",
            "A stand-in for the platform's log and host list.");
        return 0;
    case option_reader::request::version:
        std::cout << "godwit-fake-platform " << GODWIT_VERSION << "\n";
        return 0;
    case option_reader::request::wrong_usage:
        return 2;
    case option_reader::request::run:
        break;
    }
    const auto listen = options.address("listen");
    const auto settings = read_settings(options);
    if (!listen || !settings) {
        std::cerr << (!listen ? listen.error() : settings.error()).to_string()
                  << "\n";
        return 2;
    }
    return run(*settings, *listen);
}
