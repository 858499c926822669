#include "catalogue_reader.hpp"
#include "commands.hpp"
#include "report.hpp"

#include <godwit/catalogue/codec.hpp>

#include <boost/json/array.hpp>

#include <algorithm>
#include <iostream>

namespace godwit::ctl {

namespace {

std::vector<std::string> entries_of(const catalogue::record& source)
{
    std::vector<std::string> keys;
    const auto changes = catalogue::parse_change_file(source.data);
    if (!changes)
        return keys;
    for (const catalogue::change& each : changes->changes)
        keys.push_back(each.key.to_string());
    return keys;
}

boost::json::object
row_of(const decided_record& decided, const std::vector<std::string>& entries)
{
    auto object = to_json(decided.decision);
    object["time_ms"] = decided.source.time_ms;
    boost::json::array keys;
    for (const std::string& key : entries)
        keys.emplace_back(key);
    object["entries"] = std::move(keys);
    return object;
}

void print_line(
    const decided_record& decided, const std::vector<std::string>& entries)
{
    const auto& decision = decided.decision;
    std::cout << decision.offset << "  " << to_string(decision.kind) << "  "
              << (decision.published_by.empty() ? "?"
                                                : decision.published_by.value())
              << "  " << (decision.id.empty() ? "?" : decision.id.value())
              << " ";
    for (const std::string& key : entries)
        std::cout << " " << key;
    if (decision.refused) {
        std::cout << "  (" << to_string(decision.refused->reason) << ": "
                  << decision.refused->detail.message() << ")";
    }
    std::cout << "\n";
}

} // namespace

settings::exit_code run_history(const command_line& line)
{
    auto reader = catalogue_reader::create(*line.platform);
    if (!reader)
        return report_failure(reader.error());
    if (auto read = reader->read_to_end(); !read)
        return report_failure(read.error());
    boost::json::array rows;
    for (const decided_record& each : reader->decisions()) {
        const auto entries = entries_of(each.source);
        const bool wanted =
            line.arguments.empty() ||
            std::find(entries.begin(), entries.end(), line.arguments.front()) !=
                entries.end();
        if (!wanted)
            continue;
        if (line.as_json)
            rows.push_back(row_of(each, entries));
        else
            print_line(each, entries);
    }
    if (line.as_json)
        print_json(rows);
    return settings::exit_code::success;
}

} // namespace godwit::ctl
