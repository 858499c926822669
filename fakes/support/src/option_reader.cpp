#include <godwit/fakes/option_reader.hpp>

#include <getopt.h>

#include <cassert>
#include <charconv>
#include <utility>

namespace godwit::fakes {

option_reader::option_reader(std::vector<option_description> options)
    : options_(std::move(options))
{
    for (const option_description& one : options_)
        values_.push_back(one.initial);
}

option_reader::request option_reader::read(int argument_count, char** arguments)
{
    const int help = static_cast<int>(options_.size());
    const int version = help + 1;
    // Values from 256 up cannot be mistaken for a character.
    constexpr int first_value = 256;
    std::vector<option> known;
    for (std::size_t at = 0; at < options_.size(); ++at)
        known.push_back(
            {options_[at].name.c_str(),
             options_[at].value.empty() ? no_argument : required_argument,
             nullptr,
             first_value + static_cast<int>(at)});
    known.push_back({"help", no_argument, nullptr, first_value + help});
    known.push_back({"version", no_argument, nullptr, first_value + version});
    known.push_back({nullptr, 0, nullptr, 0});

    optind = 1;
    int found = 0;
    while ((found = ::getopt_long(
                argument_count, arguments, "", known.data(), nullptr)) != -1) {
        if (found == first_value + help)
            return request::help;
        if (found == first_value + version)
            return request::version;
        if (found < first_value)
            return request::wrong_usage;
        values_.at(static_cast<std::size_t>(found - first_value)) =
            optarg == nullptr ? "yes" : optarg;
    }
    return optind < argument_count ? request::wrong_usage : request::run;
}

std::string option_reader::usage(
    const std::string& program, const std::string& purpose) const
{
    std::string out = "usage: " + program + " [option...]\n" + purpose + "\n";
    for (const option_description& one : options_) {
        out += "  --" + one.name + " " + one.value + "\n      " + one.help;
        if (!one.initial.empty() && !one.value.empty())
            out += " (default " + one.initial + ")";
        out += "\n";
    }
    return out + "  --help\n  --version\n";
}

const std::string& option_reader::text(const std::string& name) const
{
    for (std::size_t at = 0; at < options_.size(); ++at) {
        if (options_[at].name == name)
            return values_[at];
    }
    assert(false);
    return values_.front();
}

core::result<std::uint64_t> option_reader::number(const std::string& name) const
{
    const std::string& value = text(name);
    std::uint64_t number = 0;
    const char* const end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return core::fail(
            core::error_kind::invalid_input,
            "--" + name + ": '" + value + "' is not a whole number",
            "give a number from 0 up");
    return number;
}

core::result<std::chrono::milliseconds>
option_reader::milliseconds(const std::string& name) const
{
    return std::chrono::milliseconds(GODWIT_TRY(number(name)));
}

core::result<bool> option_reader::flag(const std::string& name) const
{
    const std::string& value = text(name);
    if (value != "yes" && value != "no")
        return core::fail(
            core::error_kind::invalid_input,
            "--" + name + ": '" + value + "' is neither yes nor no",
            "give yes or no");
    return value == "yes";
}

core::result<http::endpoint>
option_reader::address(const std::string& name) const
{
    return http::endpoint::parse(text(name));
}

} // namespace godwit::fakes
