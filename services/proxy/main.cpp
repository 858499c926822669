#include "check_settings.hpp"
#include "proxy_process.hpp"
#include "proxy_settings.hpp"

#include <godwit/settings/exit_code.hpp>
#include <godwit/settings/load_file.hpp>
#include <godwit/settings/program_options.hpp>
#include <godwit/telemetry/log.hpp>

#include <iostream>
#include <string>
#include <utility>

namespace {

using godwit::core::error;
using godwit::core::result;
using godwit::proxy::proxy_settings;
using godwit::settings::exit_code;

result<proxy_settings> load(const std::string& path)
{
    auto file = GODWIT_TRY(godwit::settings::load_file(path));
    auto settings = GODWIT_TRY(proxy_settings::read(std::move(file)));
    const auto checked = godwit::proxy::check_settings(settings);
    if (!checked)
        return tl::unexpected(checked.error());
    return settings;
}

int fail(const error& why, exit_code code)
{
    std::cerr << "godwit-proxy: " << why.to_string() << std::endl;
    return static_cast<int>(code);
}

} // namespace

int main(int argument_count, char** arguments)
{
    const auto options = godwit::settings::program_options::parse(
        "godwit-proxy",
        GODWIT_VERSION,
        "Serves callers on an entry host and routes them to backend servers.",
        argument_count,
        arguments);
    if (!options)
        return options.error().report();
    auto settings = load(options->config_file());
    if (!settings)
        return fail(settings.error(), exit_code::settings_error);
    if (options->check_only())
        return static_cast<int>(exit_code::success);

    godwit::telemetry::start_log(
        settings->log_level, settings->host, settings->zone);
    auto process = godwit::proxy::proxy_process::create(*std::move(settings));
    if (!process)
        return fail(process.error(), exit_code::failure);
    return static_cast<int>((*process)->run());
}
