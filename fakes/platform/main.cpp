#include "platform_shell.hpp"

#include <godwit/fakes/program.hpp>

#include <vector>

namespace {

using godwit::fakes::option_description;
using godwit::fakes::option_reader;
using godwit::fakes::platform_settings;

std::vector<option_description> describe_options()
{
    return {
        {"appends-per-second", "N", "300", "in all streams"},
        {"retention-ms", "N", "3600000", "how long records are kept"},
        {"retention-records", "N", "100000", "records kept of a stream"},
        {"host-list-lag-ms", "N", "500", "age of the host list"},
    };
}

godwit::core::result<platform_settings> read_settings(const option_reader& from)
{
    platform_settings settings;
    settings.appends_per_second = GODWIT_TRY(from.number("appends-per-second"));
    settings.retention_time = GODWIT_TRY(from.milliseconds("retention-ms"));
    settings.retention_records = GODWIT_TRY(from.number("retention-records"));
    settings.host_list_lag = GODWIT_TRY(from.milliseconds("host-list-lag-ms"));
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
    return godwit::fakes::run_program(
        {"godwit-fake-platform",
         "A stand-in for the platform's log and host list.",
         GODWIT_VERSION},
        describe_options(),
        argument_count,
        arguments,
        [](const option_reader& options,
           const godwit::http::endpoint& listen) -> godwit::core::result<int> {
            return run(GODWIT_TRY(read_settings(options)), listen);
        });
}
