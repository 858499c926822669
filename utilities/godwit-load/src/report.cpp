#include <godwit/load/report.hpp>

#include <boost/json.hpp>

#include <array>
#include <cstdio>
#include <iomanip>
#include <sstream>
#include <utility>

namespace godwit::load {

namespace json = boost::json;

namespace {

double milliseconds(core::duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

json::object to_object(const sample_set& samples)
{
    json::object out;
    out["count"] = samples.count();
    out["p50"] = milliseconds(samples.percentile(50));
    out["p90"] = milliseconds(samples.percentile(90));
    out["p95"] = milliseconds(samples.percentile(95));
    out["p99"] = milliseconds(samples.percentile(99));
    out["max"] = milliseconds(samples.longest());
    return out;
}

json::object to_object(const class_summary& summary)
{
    json::object outcomes;
    for (const request_outcome outcome : all_outcomes)
        outcomes[to_string(outcome)] = summary.outcomes.at(index_of(outcome));
    json::object out;
    out["requests"] = summary.requests;
    out["tokens"] = summary.tokens;
    out["reconnects"] = summary.reconnects;
    out["outcomes"] = std::move(outcomes);
    out["stall_ms"] = to_object(summary.stall);
    out["first_text_ms"] = to_object(summary.first_text);
    out["gap_ms"] = to_object(summary.gaps);
    return out;
}

void add_row(
    std::ostream& out, std::string_view name, const class_summary& summary)
{
    out << std::left << std::setw(13) << name << std::right << std::setw(8)
        << summary.requests << std::setw(8)
        << summary.outcomes.at(index_of(request_outcome::completed))
        << std::fixed << std::setprecision(1);
    for (const double percent : {50.0, 95.0, 99.0})
        out << std::setw(9) << milliseconds(summary.stall.percentile(percent));
    for (const double percent : {50.0, 99.0})
        out << std::setw(9)
            << milliseconds(summary.first_text.percentile(percent));
    for (const double percent : {50.0, 95.0, 99.0})
        out << std::setw(9) << milliseconds(summary.gaps.percentile(percent));
    out << "\n";
}

json::object to_object(const run_parameters& parameters)
{
    json::object out;
    out["mix"] = parameters.mix;
    out["requests_per_second"] = parameters.requests_per_second;
    out["seconds"] = parameters.seconds;
    out["seed"] = parameters.seed;
    out["entry_hosts"] = parameters.entries;
    out["reconnects"] = parameters.reconnects;
    return out;
}

} // namespace

std::string to_json(const run_summary& summary)
{
    json::object classes;
    for (const request_class kind : all_classes)
        classes[to_string(kind)] =
            to_object(summary.classes.at(index_of(kind)));
    json::object reasons;
    for (const auto& [reason, count] : summary.reasons)
        reasons[reason] = count;
    json::object faults;
    for (const auto& [fault, count] : summary.faults)
        faults[to_string(fault)] = count;
    json::array details;
    for (const std::string& detail : summary.details)
        details.emplace_back(detail);
    json::object out;
    out["run"] = to_object(summary.parameters);
    out["all"] = to_object(summary.all);
    out["classes"] = std::move(classes);
    out["reasons"] = std::move(reasons);
    out["faults"] = std::move(faults);
    out["fault_details"] = std::move(details);
    if (summary.preemptions)
        out["preemptions"] = *summary.preemptions;
    else
        out["preemptions"] = nullptr;
    return json::serialize(out);
}

std::string to_table(const run_summary& summary)
{
    std::ostringstream out;
    out << "mix " << summary.parameters.mix << ", "
        << summary.parameters.requests_per_second << " requests/s for "
        << summary.parameters.seconds << " s, seed " << summary.parameters.seed
        << ", " << summary.parameters.entries << " entry hosts\n";
    out << "milliseconds                       stall (longest silence)"
           "     first text        gaps between texts\n"
        << "class        requests    done      p50      p95      p99"
           "      p50      p99      p50      p95      p99\n";
    for (const request_class kind : all_classes)
        add_row(out, to_string(kind), summary.classes.at(index_of(kind)));
    add_row(out, "all", summary.all);
    out << "outcomes:";
    for (const request_outcome outcome : all_outcomes) {
        const auto count = summary.all.outcomes.at(index_of(outcome));
        if (count > 0)
            out << " " << to_string(outcome) << "=" << count;
    }
    out << "\ntokens: " << summary.all.tokens
        << "  reconnects: " << summary.all.reconnects << "  preemptions: "
        << (summary.preemptions ? std::to_string(*summary.preemptions)
                                : "not read")
        << "\n";
    for (const auto& [reason, count] : summary.reasons)
        out << "reason " << reason << ": " << count << "\n";
    for (const auto& [fault, count] : summary.faults)
        out << "FAULT " << to_string(fault) << ": " << count << "\n";
    for (const std::string& detail : summary.details)
        out << "  " << detail << "\n";
    if (!summary.has_fault())
        out << "no wrong answer\n";
    return out.str();
}

} // namespace godwit::load
