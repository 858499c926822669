#include "commands.hpp"
#include "host_status.hpp"
#include "report.hpp"

#include <boost/json/array.hpp>

#include <iomanip>
#include <iostream>

namespace godwit::ctl {

namespace {

constexpr int name_width = 20;
constexpr int number_width = 10;

void print_head()
{
    std::cout << std::left << std::setw(name_width) << "HOST"
              << std::setw(number_width) << "ZONE" << std::right
              << std::setw(number_width) << "OFFSET" << std::setw(number_width)
              << "AGE_MS"
              << "  " << std::left << std::setw(number_width) << "SOURCE"
              << "ALARMS\n";
}

std::string shown(const std::optional<std::uint64_t>& value)
{
    return value ? std::to_string(*value) : "-";
}

void print_row(const host_status& status)
{
    std::cout << std::left << std::setw(name_width) << status.host
              << std::setw(number_width) << status.zone << std::right
              << std::setw(number_width) << shown(status.in_force)
              << std::setw(number_width) << shown(status.age_ms) << "  "
              << std::left << std::setw(number_width)
              << (status.source.empty() ? "-" : status.source)
              << (status.alarms.empty() ? "-" : status.alarms) << "\n";
}

bool is_healthy(const host_status& status)
{
    return status.in_force.has_value() && status.alarms.empty();
}

} // namespace

settings::exit_code run_status(const command_line& line)
{
    bool healthy = true;
    boost::json::array rows;
    if (!line.as_json)
        print_head();
    for (const http::endpoint& server : line.operators) {
        const auto status = host_status::ask(server);
        if (!status) {
            healthy = false;
            static_cast<void>(report_failure(status.error()));
            continue;
        }
        healthy &= is_healthy(*status);
        if (line.as_json)
            rows.push_back(status->to_json());
        else
            print_row(*status);
    }
    if (line.as_json)
        print_json(rows);
    return healthy ? settings::exit_code::success
                   : settings::exit_code::failure;
}

} // namespace godwit::ctl
