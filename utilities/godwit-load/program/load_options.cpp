#include "load_options.hpp"

#include <godwit/core/wall_clock.hpp>

#include <charconv>
#include <chrono>
#include <cmath>
#include <utility>

namespace godwit::load {

namespace {

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const auto end = std::min(text.find(',', begin), text.size());
        if (end > begin)
            parts.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return parts;
}

core::result<std::vector<http::endpoint>>
read_urls(const fakes::option_reader& from, const std::string& name)
{
    std::vector<http::endpoint> endpoints;
    for (const std::string& url : split(from.text(name)))
        endpoints.push_back(GODWIT_TRY(http::endpoint::parse_url(url)));
    return endpoints;
}

core::result<double>
read_rate(const fakes::option_reader& from, const std::string& name)
{
    const std::string& text = from.text(name);
    double rate = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, rate);
    if (parsed.ec != std::errc() || parsed.ptr != end || !(rate > 0) ||
        !std::isfinite(rate))
        return core::fail(
            core::error_kind::invalid_input,
            "--" + name + ": '" + text + "' is not a rate",
            "give a number above 0");
    return rate;
}

core::result<std::chrono::seconds>
read_seconds(const fakes::option_reader& from, const std::string& name)
{
    constexpr std::uint64_t one_day = 86'400;
    const std::uint64_t seconds = GODWIT_TRY(from.number(name));
    if (seconds > one_day)
        return core::fail(
            core::error_kind::invalid_input,
            "--" + name + " is more than a day",
            "give at most " + std::to_string(one_day));
    return std::chrono::seconds(seconds);
}

std::string run_name(const fakes::option_reader& from)
{
    std::string name = from.text("run");
    if (!name.empty())
        return name;
    return std::to_string(core::wall_clock_now().count());
}

} // namespace

fakes::option_reader load_options::describe()
{
    return fakes::option_reader({
        {"callers", "URL[,URL...]", "", "the entry hosts' callers' addresses"},
        {"token", "T[,T...]", "", "bearer tokens of organisations"},
        {"model", "NAME", "model", "the service of generations"},
        {"service", "NAME", "service", "the plain service"},
        {"long-class", "NAME", "", "the class of long streams"},
        {"short-class", "NAME", "", "the class of short completions"},
        {"rate", "R", "10", "requests a second, arriving at random"},
        {"seconds", "N", "10", "how long requests arrive"},
        {"patience", "N", "60", "seconds to wait for answers after that"},
        {"in-flight", "N", "4096", "requests at one time; more are not sent"},
        {"seed", "N", "1", "of arrivals, classes and prompts"},
        {"run", "NAME", "", "part of every key; from the clock if left out"},
        {"mix", "krajevnik|predavka", "krajevnik", "the mix of classes"},
        {"reconnect", "", "no", "continue broken streams elsewhere"},
        {"engines", "URL[,URL...]", "", "read their preemptions"},
        {"operators", "URL[,URL...]", "", "read the proxies' preemptions"},
        {"services", "URL[,URL...]", "", "read the stand-ins' effects"},
        {"json", "FILE", "", "write the report there too"},
    });
}

core::result<load_options> load_options::read(const fakes::option_reader& from)
{
    load_options options;
    options.run.callers = GODWIT_TRY(read_urls(from, "callers"));
    options.run.tokens = split(from.text("token"));
    if (options.run.callers.empty() || options.run.tokens.empty())
        return core::fail(
            core::error_kind::invalid_input,
            "--callers and --token are needed",
            "give what meta/run --keep prints");
    options.run.model = from.text("model");
    options.run.service = from.text("service");
    options.run.long_class = from.text("long-class");
    options.run.short_class = from.text("short-class");
    options.run.patience = GODWIT_TRY(read_seconds(from, "patience"));
    options.run.in_flight = GODWIT_TRY(from.number("in-flight"));
    options.run.on_break = GODWIT_TRY(from.flag("reconnect"))
                               ? reconnection::with_last_event
                               : reconnection::never;
    options.mix = from.text("mix");
    options.plan.mix = GODWIT_TRY(request_mix::named(options.mix));
    options.plan.requests_per_second = GODWIT_TRY(read_rate(from, "rate"));
    options.plan.span = GODWIT_TRY(read_seconds(from, "seconds"));
    options.plan.seed = GODWIT_TRY(from.number("seed"));
    options.plan.run = run_name(from);
    options.plan.entries = options.run.callers.size();
    options.plan.tokens = options.run.tokens.size();
    options.engines = GODWIT_TRY(read_urls(from, "engines"));
    options.operators = GODWIT_TRY(read_urls(from, "operators"));
    options.services = GODWIT_TRY(read_urls(from, "services"));
    options.json_file = from.text("json");
    return options;
}

} // namespace godwit::load
