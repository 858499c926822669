// godwit-agent: follows the platform's log and host list for one entry host.

#include "agent.hpp"

#include <godwit/settings/load_file.hpp>
#include <godwit/settings/program_options.hpp>
#include <godwit/telemetry/log.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace {

using namespace godwit;
using settings::exit_code;

constexpr const char* summary =
    "Follows the platform's log and host list, exchanges the catalogue with "
    "peer agents and feeds the proxy of its entry host.";

int fail(exit_code code, const core::error& reason)
{
    std::cerr << "godwit-agent: " << reason.to_string() << '\n';
    return static_cast<int>(code);
}

core::result<agent::agent_settings> load(const std::string& path)
{
    auto file = GODWIT_TRY(settings::load_file(path));
    return agent::agent_settings::read(std::move(file));
}

int run(agent::agent_settings settings)
{
    telemetry::start_log(settings.log_level, settings.host, settings.zone);
    // One thread runs everything, so the context needs no locks.
    boost::asio::io_context context(1);
    auto made = agent::agent::create(context, std::move(settings));
    if (!made)
        return fail(exit_code::failure, made.error());
    const auto& agent = *made;
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](const boost::system::error_code& code, int) {
        if (code)
            return;
        // The next signal ends the process at once.
        std::signal(SIGINT, SIG_DFL);
        std::signal(SIGTERM, SIG_DFL);
        agent->stop();
        context.stop();
    });
    std::cout << "agent=http://" << agent->operators_address().to_string()
              << "\nframes=tcp://" << agent->frames_address() << std::endl;
    agent->start([] { std::cout << "ready" << std::endl; });
    context.run();
    return static_cast<int>(exit_code::success);
}

} // namespace

int main(int argument_count, char** arguments)
{
    const auto options = settings::program_options::parse(
        "godwit-agent", GODWIT_VERSION, summary, argument_count, arguments);
    if (!options)
        return options.error().report();
    auto settings = load(options->config_file());
    if (!settings)
        return fail(exit_code::settings_error, settings.error());
    if (options->check_only())
        return static_cast<int>(exit_code::success);
    return run(std::move(*settings));
}
