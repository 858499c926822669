#include "answers.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>

namespace godwit::platform {

namespace {

namespace json = boost::json;

constexpr unsigned status_ok = 200;
constexpr unsigned status_created = 201;
constexpr unsigned status_request_timeout = 408;
constexpr unsigned status_too_many_requests = 429;
constexpr unsigned status_unavailable = 503;
constexpr unsigned client_errors = 400;
constexpr unsigned server_errors = 500;

constexpr const char* platform_remedy =
    "check that the settings' platform address is the platform's";

bool succeeded(const http::response& answer)
{
    return answer.status == status_ok || answer.status == status_created;
}

core::error bad_answer(const std::string& what)
{
    return {
        core::error_kind::protocol,
        "the platform's answer is not understood: " + what,
        platform_remedy};
}

core::error refused(const http::response& answer)
{
    const std::string status = std::to_string(answer.status);
    if (answer.status == status_too_many_requests) {
        return {
            core::error_kind::exhausted,
            "the platform's rate is used up (429)",
            "wait; give claims and checkpoints a smaller share if it lasts"};
    }
    if (answer.status >= server_errors) {
        return {
            core::error_kind::unavailable,
            "the platform is in an outage (" + status + ")",
            "wait; serving goes on with what is known"};
    }
    return {
        core::error_kind::invalid_input,
        "the platform refuses the request (" + status + ")",
        platform_remedy};
}

core::duration retry_after(const http::response& answer)
{
    const auto field = answer.fields.find("Retry-After");
    if (!field)
        return core::duration(0);
    unsigned seconds = 0;
    std::from_chars(field->data(), field->data() + field->size(), seconds);
    return std::chrono::seconds(seconds);
}

append_failure failed_append(append_failure_kind kind, core::error cause)
{
    return {.kind = kind, .cause = std::move(cause)};
}

std::optional<std::uint64_t>
find_number(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    if (value == nullptr)
        return std::nullopt;
    if (value->is_uint64())
        return value->get_uint64();
    if (value->is_int64() && value->get_int64() >= 0)
        return static_cast<std::uint64_t>(value->get_int64());
    return std::nullopt;
}

std::optional<std::string>
find_text(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    if (value == nullptr || !value->is_string())
        return std::nullopt;
    return std::string(value->get_string());
}

const json::array* find_list(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    return value == nullptr ? nullptr : value->if_array();
}

core::result<json::object> parse_object(const std::string& body)
{
    boost::system::error_code code;
    json::value parsed = json::parse(body, code);
    if (code || !parsed.is_object())
        return tl::unexpected(bad_answer("it is no JSON object"));
    return std::move(parsed.get_object());
}

core::result<json::object>
expect_object(const http::client_result<http::response>& answer)
{
    if (!answer)
        return tl::unexpected(answer.error().cause);
    if (!succeeded(*answer))
        return tl::unexpected(refused(*answer));
    return parse_object(answer->body);
}

core::result<log_record> read_record(const json::value& value)
{
    const auto* object = value.if_object();
    if (object == nullptr)
        return tl::unexpected(bad_answer("a record is no object"));
    const auto offset = find_number(*object, "offset");
    const auto time = find_number(*object, "time_ms");
    auto data = find_text(*object, "data");
    if (!offset || !time || !data)
        return tl::unexpected(bad_answer("a record lacks a field"));
    return log_record{*offset, *time, std::move(*data)};
}

// Followers fold in log order; a page out of order must not reach them.
bool in_order(const std::vector<log_record>& records)
{
    return std::ranges::adjacent_find(
               records, [](const log_record& left, const log_record& right) {
                   return left.offset >= right.offset;
               }) == records.end();
}

std::optional<host_kind> parse_kind(std::string_view text)
{
    if (text == "entry")
        return host_kind::entry;
    if (text == "engine")
        return host_kind::engine;
    if (text == "service")
        return host_kind::service;
    return std::nullopt;
}

core::result<host_entry> read_host(const json::value& value)
{
    const auto* object = value.if_object();
    if (object == nullptr)
        return tl::unexpected(bad_answer("a host is no object"));
    const auto address = find_text(*object, "address");
    const auto kind = parse_kind(find_text(*object, "kind").value_or(""));
    const auto state = find_text(*object, "state");
    if (!address || !kind || !state)
        return tl::unexpected(bad_answer("a host lacks a field"));
    return host_entry{
        .address = *address,
        .kind = *kind,
        .name = core::host_name(find_text(*object, "name").value_or("")),
        .zone = core::zone_name(find_text(*object, "zone").value_or("")),
        .service =
            core::service_name(find_text(*object, "service").value_or("")),
        .state = *state == "leaving" ? host_state::leaving : host_state::live,
        .peer = find_text(*object, "peer").value_or("")};
}

} // namespace

append_result
read_append_answer(const http::client_result<http::response>& answer)
{
    if (!answer) {
        const auto& failure = answer.error();
        const bool nothing_sent =
            failure.handed_over == http::bytes_handed_over::none;
        return tl::unexpected(failed_append(
            nothing_sent ? append_failure_kind::unavailable
                         : append_failure_kind::effect_unknown,
            failure.cause));
    }
    if (succeeded(*answer)) {
        const auto object = parse_object(answer->body);
        const auto offset =
            object ? find_number(*object, "offset") : std::nullopt;
        if (offset)
            return *offset;
        return tl::unexpected(failed_append(
            append_failure_kind::effect_unknown, bad_answer("no offset")));
    }
    // The platform's contract: 429 and 503 say that nothing was appended.
    append_failure failure =
        failed_append(append_failure_kind::effect_unknown, refused(*answer));
    failure.retry_after = retry_after(*answer);
    if (answer->status == status_too_many_requests)
        failure.kind = append_failure_kind::rate_limited;
    else if (answer->status == status_unavailable)
        failure.kind = append_failure_kind::unavailable;
    else if (
        answer->status >= client_errors && answer->status < server_errors &&
        answer->status != status_request_timeout)
        failure.kind = append_failure_kind::rejected;
    return tl::unexpected(failure);
}

core::result<log_page>
read_page_answer(const http::client_result<http::response>& answer)
{
    const auto object = GODWIT_TRY(expect_object(answer));
    const auto first = find_number(object, "first");
    const auto next = find_number(object, "next");
    const auto* records = find_list(object, "records");
    if (!first || !next || records == nullptr)
        return tl::unexpected(bad_answer("a page lacks a field"));
    log_page page{*first, *next, {}};
    page.records.reserve(records->size());
    for (const json::value& value : *records)
        page.records.push_back(GODWIT_TRY(read_record(value)));
    if (!in_order(page.records))
        return tl::unexpected(bad_answer("records are out of order"));
    return page;
}

core::result<std::vector<host_entry>>
read_hosts_answer(const http::client_result<http::response>& answer)
{
    const auto object = GODWIT_TRY(expect_object(answer));
    const auto* hosts = find_list(object, "hosts");
    if (hosts == nullptr)
        return tl::unexpected(bad_answer("there is no list of hosts"));
    std::vector<host_entry> entries;
    entries.reserve(hosts->size());
    for (const json::value& value : *hosts)
        entries.push_back(GODWIT_TRY(read_host(value)));
    std::ranges::sort(entries, {}, &host_entry::address);
    return entries;
}

} // namespace godwit::platform
