#include "problem.hpp"

#include <godwit/http/status.hpp>

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <chrono>

namespace godwit::proxy {

boost::json::object to_json(const problem& failure)
{
    return {
        {"type", "urn:godwit:problem:" + failure.reason},
        {"title", http::reason_phrase(failure.status)},
        {"status", failure.status},
        {"detail", failure.detail},
        {"outcome", core::to_string(failure.outcome)},
        {"reason", failure.reason},
        {"remedy", failure.remedy}};
}

http::response to_response(const problem& failure)
{
    http::response answer;
    answer.status = failure.status;
    answer.fields.add("Content-Type", problem_content_type);
    if (failure.retry_after) {
        // Zero would invite the caller to come back at once.
        const auto seconds = std::max(
            std::chrono::ceil<std::chrono::seconds>(*failure.retry_after),
            std::chrono::seconds(1));
        answer.fields.add("Retry-After", std::to_string(seconds.count()));
    }
    answer.body = boost::json::serialize(to_json(failure));
    return answer;
}

} // namespace godwit::proxy
