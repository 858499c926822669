#include "engine_shell.hpp"

#include <godwit/fakes/program.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <vector>

namespace {

using godwit::fakes::engine_settings;
using godwit::fakes::option_description;
using godwit::fakes::option_reader;

std::vector<option_description> describe_options()
{
    return {
        {"service", "NAME", "model", "the model that is loaded at first"},
        {"zone", "NAME", "", "availability zone, for the log"},
        {"tokens-per-second", "N", "50", "of a generation that runs alone"},
        {"batch", "N", "16", "generations that run at one time"},
        {"memory-tokens", "N", "20000", "memory for running generations"},
        {"load-lag-ms", "N", "200", "age of the reported load"},
        {"checks-fencing", "yes|no", "yes", "refuse old fencing numbers"},
        {"seed", "N", "1", "of the lost cache events"},
    };
}

godwit::core::result<engine_settings> read_settings(const option_reader& from)
{
    engine_settings settings;
    settings.service = from.text("service");
    settings.tokens_per_second = GODWIT_TRY(from.number("tokens-per-second"));
    settings.batch = GODWIT_TRY(from.number("batch"));
    settings.memory_tokens = GODWIT_TRY(from.number("memory-tokens"));
    settings.load_lag = GODWIT_TRY(from.milliseconds("load-lag-ms"));
    settings.checks_fencing = GODWIT_TRY(from.flag("checks-fencing"));
    settings.seed = GODWIT_TRY(from.number("seed"));
    if (settings.tokens_per_second == 0 || settings.batch == 0)
        return godwit::core::fail(
            godwit::core::error_kind::invalid_input,
            "--tokens-per-second and --batch must not be 0",
            "give a number from 1 up");
    return settings;
}

int run(const engine_settings& settings, const godwit::http::endpoint& listen)
{
    boost::asio::io_context context(1);
    godwit::fakes::engine_shell shell(context.get_executor(), settings);
    boost::asio::co_spawn(context, shell.run_model(), boost::asio::detached);
    return godwit::fakes::serve_until_signal(
        context, "engine", listen, [&shell](godwit::http::exchange& current) {
            return shell.handle(current);
        });
}

} // namespace

int main(int argument_count, char** arguments)
{
    return godwit::fakes::run_program(
        {"godwit-fake-engine",
         "A stand-in for a model engine.",
         GODWIT_VERSION},
        describe_options(),
        argument_count,
        arguments,
        [](const option_reader& options,
           const godwit::http::endpoint& listen) -> godwit::core::result<int> {
            return run(GODWIT_TRY(read_settings(options)), listen);
        });
}
