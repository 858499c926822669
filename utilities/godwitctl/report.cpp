#include "report.hpp"

#include "pretty_json.hpp"

#include <iostream>

namespace godwit::ctl {

settings::exit_code report_failure(const core::error& failure)
{
    std::cerr << "godwitctl: " << failure.to_string() << "\n";
    return settings::exit_code::failure;
}

void print_json(const boost::json::value& value)
{
    std::cout << pretty_json(value) << "\n";
}

boost::json::object to_json(const catalogue::verdict& decision)
{
    boost::json::object object{
        {"verdict", to_string(decision.kind)},
        {"offset", decision.offset},
        {"change_id", decision.id.value()},
        {"operator", decision.published_by.value()}};
    if (decision.kind == catalogue::verdict_kind::repeated) {
        object["first_offset"] = decision.first_offset;
        object["first_accepted"] = decision.first_accepted;
    }
    if (!decision.refused)
        return object;
    object["reason"] = to_string(decision.refused->reason);
    object["message"] = decision.refused->detail.message();
    object["remedy"] = decision.refused->detail.remedy();
    if (decision.refused->current_version)
        object["current_version"] = *decision.refused->current_version;
    return object;
}

} // namespace godwit::ctl
