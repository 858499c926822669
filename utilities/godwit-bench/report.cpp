#include "report.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <sstream>

namespace godwit::bench {

namespace {

/// A measure over the seeds of one policy.
struct spread
{
    double mean = 0.0;
    double least = 0.0;
    double most = 0.0;
};

spread spread_of(
    const std::vector<run_result>& runs,
    std::size_t first,
    std::size_t last,
    const measure& measure)
{
    spread result;
    result.least = runs[first].measured.*measure.value;
    result.most = result.least;
    for (std::size_t index = first; index < last; ++index) {
        const double value = runs[index].measured.*measure.value;
        result.mean += value / static_cast<double>(last - first);
        result.least = std::min(result.least, value);
        result.most = std::max(result.most, value);
    }
    return result;
}

std::string format(double value)
{
    constexpr std::size_t size = 32;
    char text[size];
    const double magnitude = std::fabs(value);
    const char* const pattern = magnitude >= 100.0  ? "%.0f"
                                : magnitude >= 10.0 ? "%.1f"
                                : magnitude >= 1.0  ? "%.2f"
                                                    : "%.3f";
    std::snprintf(text, size, pattern, value);
    return text;
}

bool same_setting(const run_key& left, const run_key& right)
{
    return left.workload == right.workload && left.load == right.load &&
           left.lag_s == right.lag_s;
}

/// The first run after `first` for which `same` no longer holds.
template<class Same>
std::size_t
end_of(const std::vector<run_result>& runs, std::size_t first, Same same)
{
    std::size_t last = first;
    while (last < runs.size() && same(runs[first].key, runs[last].key))
        ++last;
    return last;
}

std::string table_of(
    const std::vector<run_result>& runs, std::size_t first, std::size_t last)
{
    struct column
    {
        std::string policy;
        std::size_t first = 0;
        std::size_t last = 0;
    };

    std::vector<column> columns;
    for (std::size_t at = first; at < last;) {
        const std::size_t end =
            end_of(runs, at, [](const run_key& left, const run_key& right) {
                return same_setting(left, right) && left.policy == right.policy;
            });
        columns.push_back(
            {.policy = runs[at].key.policy, .first = at, .last = end});
        at = end;
    }
    std::string text = "| measure |";
    std::string rule = "|---|";
    for (const column& column : columns) {
        text += " " + column.policy + " |";
        rule += "---|";
    }
    text += "\n" + rule + "\n";
    for (const measure& measure : all_measures) {
        text += "| " + std::string(measure.name) + " |";
        for (const column& column : columns) {
            const spread value =
                spread_of(runs, column.first, column.last, measure);
            text += " " + format(value.mean) + " (" + format(value.least) +
                    "-" + format(value.most) + ") |";
        }
        text += "\n";
    }
    return text;
}

/// Applies changes such as "overcommit=1.2:quantile=0.4".
bool change(scheduler_variation& variation, const std::string& changes)
{
    std::istringstream in(changes);
    for (std::string part; std::getline(in, part, ':');) {
        const std::size_t equals = part.find('=');
        if (equals == std::string::npos)
            return false;
        const std::string key = part.substr(0, equals);
        const double value = std::strtod(part.c_str() + equals + 1, nullptr);
        if (key == "overcommit")
            variation.overcommit = value;
        else if (key == "quantile")
            variation.length_quantile = value;
        else if (key == "longest_wait_s")
            variation.longest_wait_s = value;
        else if (key == "candidates")
            variation.candidates = static_cast<std::uint32_t>(value);
        else
            return false;
    }
    return true;
}

} // namespace

const std::vector<scheduler_variation>& all_variations()
{
    using namespace std::chrono_literals;
    static const std::vector<scheduler_variation> variations = {
        {.name = "godwit"},
        {.name = "one_candidate", .candidates = 1},
        {.name = "three_candidates", .candidates = 3},
        {.name = "all_candidates", .candidates = 64},
        {.name = "no_expected_rest", .length_quantile = 0.001},
        {.name = "no_memory_admission", .overcommit = 1e9},
        {.name = "no_advance", .advance_reports = false},
        {.name = "no_entry_hosts", .knows_entry_hosts = false},
        {.name = "no_classes", .classes = false},
        {.name = "no_organisations", .organisations = false},
        {.name = "no_floors", .floors = false},
        {.name = "no_prefixes", .prefixes = false},
        {.name = "no_preemption_events", .preemption_events = false},
        {.name = "no_engine_priorities", .engine_priorities = false},
        {.name = "engine_takes_raises", .raises = true},
        {.name = "no_longest_waits", .longest_waits = false},
        {.name = "no_zones", .zones = false},
        {.name = "no_deadlines", .deadlines = false},
        {.name = "home_hosts_05", .grants = granting::home_hosts, .hop = 500us},
        {.name = "home_hosts_15",
         .grants = granting::home_hosts,
         .hop = 1500us},
    };
    return variations;
}

std::optional<scheduler_variation> find_variation(std::string_view name)
{
    const std::size_t colon = name.find(':');
    for (const scheduler_variation& variation : all_variations()) {
        if (variation.name != name.substr(0, colon))
            continue;
        scheduler_variation result = variation;
        result.name = name;
        if (colon != std::string_view::npos &&
            !change(result, std::string(name.substr(colon + 1))))
            return std::nullopt;
        return result;
    }
    return std::nullopt;
}

std::string to_markdown(const std::vector<run_result>& runs)
{
    std::string text;
    for (std::size_t first = 0; first < runs.size();) {
        const std::size_t last = end_of(runs, first, same_setting);
        const run_key& key = runs[first].key;
        text += "### " + key.workload + ", load " + format(key.load) +
                ", reports " + format(key.lag_s) + " s late\n\n";
        text += table_of(runs, first, last) + "\n";
        first = last;
    }
    return text;
}

std::string to_json(const std::vector<run_result>& runs)
{
    boost::json::array list;
    for (const run_result& run : runs) {
        boost::json::object measured;
        for (const measure& measure : all_measures)
            measured[measure.name] = run.measured.*measure.value;
        list.push_back(boost::json::object{
            {"workload", run.key.workload},
            {"policy", run.key.policy},
            {"load", run.key.load},
            {"lag_s", run.key.lag_s},
            {"seed", run.key.seed},
            {"measured", std::move(measured)}});
    }
    return boost::json::serialize(list);
}

} // namespace godwit::bench
