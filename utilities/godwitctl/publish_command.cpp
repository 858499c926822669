#include "change_file.hpp"
#include "commands.hpp"
#include "in_force_wait.hpp"
#include "publisher.hpp"
#include "report.hpp"

#include <iostream>

namespace godwit::ctl {

namespace {

using clock = std::chrono::steady_clock;

core::result<catalogue::verdict>
publish_file(const command_line& line, clock::time_point deadline)
{
    const auto changes = GODWIT_TRY(load_change_file(line.arguments.front()));
    auto publishing = GODWIT_TRY(publisher::create(*line.platform, changes));
    return publishing.publish(deadline);
}

void print_accepted(
    const command_line& line, const catalogue::verdict& decision)
{
    if (line.as_json) {
        auto object = to_json(decision);
        object["version"] = decision.offset + 1;
        object["in_force_everywhere"] = line.wait;
        print_json(object);
        return;
    }
    std::cout << "accepted at offset " << decision.offset
              << ", entries are at version " << decision.offset + 1
              << (line.wait ? ", in force on every host" : "") << "\n";
}

} // namespace

settings::exit_code run_publish(const command_line& line)
{
    const clock::time_point deadline = clock::now() + line.timeout;
    const auto decision = publish_file(line, deadline);
    if (!decision)
        return report_failure(decision.error());
    if (decision->refused) {
        if (line.as_json)
            print_json(to_json(*decision));
        std::cerr << "godwitctl: refused ("
                  << to_string(decision->refused->reason)
                  << "): " << decision->refused->detail.to_string() << "\n";
        return settings::exit_code::failure;
    }
    if (line.wait) {
        const auto waited =
            wait_in_force(line.operators, decision->offset, deadline);
        if (!waited)
            return report_failure(waited.error());
    }
    print_accepted(line, *decision);
    return settings::exit_code::success;
}

} // namespace godwit::ctl
