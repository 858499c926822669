#include "catalogue_reader.hpp"
#include "change_file.hpp"
#include "commands.hpp"
#include "report.hpp"

#include <godwit/catalogue/codec.hpp>
#include <godwit/catalogue/fold.hpp>

#include <iostream>

namespace godwit::ctl {

namespace {

// Whether the catalogue in the log would accept the change set now.
core::result<catalogue::verdict>
try_against_log(const http::endpoint& platform, const std::string& data)
{
    auto reader = GODWIT_TRY(catalogue_reader::create(platform));
    if (auto read = reader.read_to_end(); !read)
        return tl::unexpected(std::move(read).error());
    const auto& content = reader.content();
    return catalogue::fold(content, {content->next_offset(), 0, data}).decision;
}

core::result<std::string> check_file(const command_line& line)
{
    const auto changes = GODWIT_TRY(load_change_file(line.arguments.front()));
    const auto data = GODWIT_TRY(catalogue::serialise_record(changes));
    if (!line.platform) {
        return "valid: " + std::to_string(changes.changes.size()) +
               " changes; owners, versions and references are checked with "
               "--platform";
    }
    const auto decision = GODWIT_TRY(try_against_log(*line.platform, data));
    if (decision.refused)
        return tl::unexpected(decision.refused->detail);
    if (decision.kind == catalogue::verdict_kind::repeated) {
        return "decided already at offset " +
               std::to_string(decision.first_offset) +
               (decision.first_accepted ? ": accepted" : ": refused");
    }
    return "would be accepted: " + std::to_string(changes.changes.size()) +
           " changes";
}

} // namespace

settings::exit_code run_check(const command_line& line)
{
    const auto done = check_file(line);
    if (!done)
        return report_failure(done.error());
    if (line.as_json)
        print_json(boost::json::object{{"result", *done}});
    else
        std::cout << *done << "\n";
    return settings::exit_code::success;
}

} // namespace godwit::ctl
