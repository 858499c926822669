#pragma once

#include <godwit/core/result.hpp>
#include <godwit/fakes/option_reader.hpp>
#include <godwit/http/endpoint.hpp>
#include <godwit/load/plan_settings.hpp>
#include <godwit/load/run_settings.hpp>

#include <string>
#include <vector>

namespace godwit::load {

/// What the command line asks for.
struct load_options
{
    std::string mix;
    plan_settings plan;
    run_settings run;
    std::vector<http::endpoint> engines;   ///< Read for preemptions.
    std::vector<http::endpoint> operators; ///< The same, by proxies.
    std::vector<http::endpoint> services;  ///< Read for effects.
    std::string json_file;                 ///< Empty means none.

    /// The options that the program knows.
    [[nodiscard]] static fakes::option_reader describe();

    /// Fails with `invalid_input` naming the option.
    [[nodiscard]] static core::result<load_options>
    read(const fakes::option_reader& from);
};

} // namespace godwit::load
