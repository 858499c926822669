#include <godwit/entry/crash_report_conversion.hpp>

#include <godwit/entry/wire_age.hpp>

#include <chrono>

namespace godwit::entry {

namespace {

constexpr std::size_t fingerprint_digits = 32;

} // namespace

wire::crash_report
to_wire(const admission::crash_report& report, core::time_point now)
{
    wire::crash_report converted{
        report.request.value(),
        report.organisation,
        {},
        report.prompt_position};
    for (const admission::server_crash& crash : report.crashes)
        converted.crashes.push_back(
            {crash.server.value(),
             crash.start.unix_ms,
             wire_age_ms(now - crash.at)});
    return converted;
}

core::result<admission::request_fingerprint>
to_fingerprint(const std::string& text)
{
    const bool is_valid =
        text.size() == fingerprint_digits &&
        text.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!is_valid)
        return core::fail(
            core::error_kind::protocol,
            "a request fingerprint from a neighbour is not 32 lower-case "
            "hexadecimal digits",
            "check that the neighbour runs this release");
    return admission::request_fingerprint(text);
}

core::result<admission::crash_report>
to_crash_report(const wire::crash_report& received, core::time_point now)
{
    admission::crash_report report;
    report.request = GODWIT_TRY(to_fingerprint(received.request));
    report.organisation = received.organisation;
    report.prompt_position = received.prompt_position;
    for (const wire::server_crash& crash : received.crashes) {
        if (crash.server.empty())
            return core::fail(
                core::error_kind::protocol,
                "a crash report from a neighbour has a crash without a server "
                "id",
                "check that the neighbour runs this release");
        report.crashes.push_back(
            {placement::server_id(crash.server),
             placement::server_start{crash.started_at_ms},
             now - std::chrono::milliseconds(crash.age_ms)});
    }
    return report;
}

} // namespace godwit::entry
