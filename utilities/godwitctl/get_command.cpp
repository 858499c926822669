#include "catalogue_reader.hpp"
#include "commands.hpp"
#include "report.hpp"

#include <godwit/catalogue/codec.hpp>

#include <boost/json/array.hpp>

#include <iomanip>
#include <iostream>

namespace godwit::ctl {

namespace {

constexpr int key_width = 40;
constexpr int version_width = 10;

core::result<catalogue::state_pointer> read_catalogue(const command_line& line)
{
    auto reader = GODWIT_TRY(catalogue_reader::create(*line.platform));
    if (auto read = reader.read_to_end(); !read)
        return tl::unexpected(std::move(read).error());
    return reader.content();
}

settings::exit_code
print_entry(const catalogue::state& content, const std::string& text)
{
    const auto key = catalogue::entry_key::parse(text);
    if (!key)
        return report_failure(key.error());
    if (const auto found = content.find(*key)) {
        print_json(catalogue::to_json(*found));
        return settings::exit_code::success;
    }
    const auto gone = content.find_tombstone(*key);
    return report_failure(
        {core::error_kind::not_found,
         text + (gone ? " was deleted by " + gone->deleted_by.value() +
                            " at offset " + std::to_string(gone->version - 1)
                      : std::string(" is not in the catalogue")),
         "list the entries with godwitctl get"});
}

void print_table(const catalogue::state& content)
{
    std::cout << std::left << std::setw(key_width) << "ENTRY" << std::right
              << std::setw(version_width) << "VERSION"
              << "  OWNER\n";
    for (const catalogue::entry& each : content.entries()) {
        std::cout << std::left << std::setw(key_width)
                  << key_of(each).to_string() << std::right
                  << std::setw(version_width) << version_of(each) << "  "
                  << owner_of(each) << "\n";
    }
}

void print_entries(const catalogue::state& content)
{
    boost::json::array entries;
    for (const catalogue::entry& each : content.entries()) {
        entries.push_back(boost::json::object{
            {"entry", key_of(each).to_string()},
            {"value", catalogue::to_json(each)}});
    }
    print_json(boost::json::object{
        {"next_offset", content.next_offset()}, {"entries", entries}});
}

} // namespace

settings::exit_code run_get(const command_line& line)
{
    const auto content = read_catalogue(line);
    if (!content)
        return report_failure(content.error());
    if (!line.arguments.empty())
        return print_entry(**content, line.arguments.front());
    if (line.as_json)
        print_entries(**content);
    else
        print_table(**content);
    return settings::exit_code::success;
}

} // namespace godwit::ctl
