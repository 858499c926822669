#pragma once

#include "command.hpp"

#include <godwit/http/endpoint.hpp>
#include <godwit/settings/early_exit.hpp>

#include <tl/expected.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace godwit::ctl {

/// What the command line asks for. Addresses that it leaves out come from
/// the environment: GODWIT_PLATFORM and GODWIT_OPERATORS.
struct command_line
{
    command what = command::status;
    std::vector<std::string> arguments;
    std::optional<http::endpoint> platform;
    std::vector<http::endpoint> operators;
    bool as_json = false;
    bool wait = false;
    std::chrono::seconds timeout{30};

    [[nodiscard]] static tl::expected<command_line, settings::early_exit>
    parse(int argument_count, char** arguments);

    friend bool operator==(const command_line&, const command_line&) = default;
};

} // namespace godwit::ctl
