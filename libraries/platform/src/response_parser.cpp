#include "response_parser.hpp"

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

bool succeeded(const http::response& response)
{
    return response.status == status_ok || response.status == status_created;
}

core::error invalid_response(const std::string& problem)
{
    return {
        core::error_kind::protocol,
        "the platform's response is invalid: " + problem,
        platform_remedy};
}

core::error error_of(const http::response& response)
{
    const std::string status = std::to_string(response.status);
    if (response.status == status_too_many_requests) {
        return {
            core::error_kind::exhausted,
            "the platform's rate limit is reached (429)",
            "wait; if it persists, give claims and checkpoints a smaller "
            "share"};
    }
    if (response.status >= server_errors) {
        return {
            core::error_kind::unavailable,
            "the platform is in an outage (" + status + ")",
            "wait; the system keeps serving with the data that it has"};
    }
    return {
        core::error_kind::invalid_input,
        "the platform refuses the request (" + status + ")",
        platform_remedy};
}

core::duration retry_after(const http::response& response)
{
    const auto field = response.fields.find("Retry-After");
    if (!field)
        return core::duration(0);
    unsigned seconds = 0;
    std::from_chars(field->data(), field->data() + field->size(), seconds);
    return std::chrono::seconds(seconds);
}

append_failure make_append_failure(append_failure_kind kind, core::error cause)
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
        return tl::unexpected(invalid_response("it is not a JSON object"));
    return std::move(parsed.get_object());
}

core::result<json::object>
expect_object(const http::client_result<http::response>& response)
{
    if (!response)
        return tl::unexpected(response.error().cause);
    if (!succeeded(*response))
        return tl::unexpected(error_of(*response));
    return parse_object(response->body);
}

core::result<log_record> read_record(const json::value& value)
{
    const auto* object = value.if_object();
    if (object == nullptr)
        return tl::unexpected(invalid_response("a record is not an object"));
    const auto offset = find_number(*object, "offset");
    const auto time = find_number(*object, "time_ms");
    auto data = find_text(*object, "data");
    if (!offset || !time || !data)
        return tl::unexpected(invalid_response("a record lacks a field"));
    return log_record{*offset, *time, std::move(*data)};
}

// Readers apply records in log order, so a page out of order must not reach
// them.
bool is_in_order(const std::vector<log_record>& records)
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
        return tl::unexpected(invalid_response("a host is not an object"));
    const auto address = find_text(*object, "address");
    const auto kind = parse_kind(find_text(*object, "kind").value_or(""));
    const auto state = find_text(*object, "state");
    if (!address || !kind || !state)
        return tl::unexpected(invalid_response("a host lacks a field"));
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
parse_append_response(const http::client_result<http::response>& response)
{
    if (!response) {
        const auto& failure = response.error();
        const bool nothing_sent =
            failure.handed_over == http::bytes_handed_over::none;
        return tl::unexpected(make_append_failure(
            nothing_sent ? append_failure_kind::unavailable
                         : append_failure_kind::effect_unknown,
            failure.cause));
    }
    if (succeeded(*response)) {
        const auto object = parse_object(response->body);
        const auto offset =
            object ? find_number(*object, "offset") : std::nullopt;
        if (offset)
            return *offset;
        return tl::unexpected(make_append_failure(
            append_failure_kind::effect_unknown,
            invalid_response("no offset")));
    }
    // By the platform's contract, 429 and 503 mean that nothing was appended.
    append_failure failure = make_append_failure(
        append_failure_kind::effect_unknown, error_of(*response));
    failure.retry_after = retry_after(*response);
    if (response->status == status_too_many_requests)
        failure.kind = append_failure_kind::rate_limited;
    else if (response->status == status_unavailable)
        failure.kind = append_failure_kind::unavailable;
    else if (
        response->status >= client_errors && response->status < server_errors &&
        response->status != status_request_timeout)
        failure.kind = append_failure_kind::rejected;
    return tl::unexpected(failure);
}

core::result<log_page>
parse_page_response(const http::client_result<http::response>& response)
{
    const auto object = GODWIT_TRY(expect_object(response));
    const auto first = find_number(object, "first");
    const auto next = find_number(object, "next");
    const auto* records = find_list(object, "records");
    if (!first || !next || records == nullptr)
        return tl::unexpected(invalid_response("a page lacks a field"));
    log_page page{*first, *next, {}};
    page.records.reserve(records->size());
    for (const json::value& value : *records)
        page.records.push_back(GODWIT_TRY(read_record(value)));
    if (!is_in_order(page.records))
        return tl::unexpected(invalid_response("records are out of order"));
    return page;
}

core::result<std::vector<host_entry>>
parse_hosts_response(const http::client_result<http::response>& response)
{
    const auto object = GODWIT_TRY(expect_object(response));
    const auto* hosts = find_list(object, "hosts");
    if (hosts == nullptr)
        return tl::unexpected(invalid_response("there is no list of hosts"));
    std::vector<host_entry> entries;
    entries.reserve(hosts->size());
    for (const json::value& value : *hosts)
        entries.push_back(GODWIT_TRY(read_host(value)));
    std::ranges::sort(entries, {}, &host_entry::address);
    return entries;
}

} // namespace godwit::platform
