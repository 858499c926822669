#include <godwit/load/problem_report.hpp>

#include <boost/json.hpp>

namespace godwit::load {

namespace json = boost::json;

problem_report problem_report::read(std::string_view text)
{
    boost::system::error_code failure;
    const json::value parsed = json::parse(text, failure);
    problem_report report;
    report.reason = "unreadable";
    if (failure || !parsed.is_object())
        return report;
    const json::object& body = parsed.get_object();
    const json::value* const reason = body.if_contains("reason");
    if (reason != nullptr && reason->is_string())
        report.reason = std::string(reason->get_string());
    const json::value* const outcome = body.if_contains("outcome");
    if (outcome == nullptr || !outcome->is_string())
        return report;
    for (const request_outcome candidate :
         {request_outcome::not_run,
          request_outcome::interrupted,
          request_outcome::unknown}) {
        if (outcome->get_string() == to_string(candidate))
            report.outcome = candidate;
    }
    return report;
}

} // namespace godwit::load
