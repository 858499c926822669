#include "caller_request_reader.hpp"

#include "passed_fields.hpp"

#include <godwit/catalogue/token_hash.hpp>
#include <godwit/request/resume_token.hpp>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <charconv>
#include <chrono>
#include <optional>
#include <string_view>
#include <utility>

namespace godwit::proxy {

namespace {

namespace json = boost::json;
template<class Value>
using outcome_of = tl::expected<Value, problem>;

constexpr std::string_view completions_path = "/v1/completions";
constexpr std::string_view services_path = "/v1/services/";
constexpr std::size_t longest_key = 256;
constexpr std::int64_t longest_deadline_ms = 24LL * 3600 * 1000;

tl::unexpected<problem> refuse(
    unsigned status, std::string reason, std::string detail, std::string remedy)
{
    problem failure;
    failure.status = status;
    failure.reason = std::move(reason);
    failure.detail = std::move(detail);
    failure.remedy = std::move(remedy);
    return tl::unexpected(std::move(failure));
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

// Exactly one value may stand where two could contradict each other.
outcome_of<std::optional<std::string_view>>
single_field(const http::request& received, std::string_view name)
{
    if (received.fields.count(name) > 1)
        return refuse(
            400,
            "repeated_header",
            "the header " + std::string(name) + " stands more than once",
            "send it once");
    return received.fields.find(name);
}

outcome_of<std::shared_ptr<const catalogue::organisation>>
read_organisation(const http::request& received, const catalogue::state& from)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto field = GODWIT_TRY(single_field(received, "Authorization"));
    // The scheme's case does not matter (RFC 9110, section 11.1).
    const bool has_scheme =
        field && http::same_field_name(field->substr(0, scheme.size()), scheme);
    if (!has_scheme)
        return refuse(
            401,
            "unauthenticated",
            "the request names no organisation",
            "send \"Authorization: Bearer TOKEN\"");
    const auto hash = catalogue::token_hash(field->substr(scheme.size()));
    auto found = hash ? from.find_organisation_by_token(*hash) : nullptr;
    if (!found)
        return refuse(
            401,
            "unknown_organisation",
            "the bearer token belongs to no organisation",
            "check the token; an operator publishes it in the catalogue");
    return found;
}

outcome_of<std::shared_ptr<const catalogue::service>> read_service(
    const catalogue::state& from,
    std::string_view name,
    catalogue::service_kind kind)
{
    auto found = from.find_service(core::service_name(std::string(name)));
    if (!found)
        return refuse(
            404,
            "unknown_service",
            "there is no service '" + std::string(name.substr(0, 128)) + "'",
            "use the name of a service in the catalogue");
    if (found->kind != kind) {
        const bool is_plain = found->kind == catalogue::service_kind::plain;
        return refuse(
            400,
            "wrong_kind",
            is_plain ? "the service does not generate"
                     : "the service only generates",
            is_plain ? "call it at /v1/services/{service}/"
                     : "call it at /v1/completions");
    }
    return found;
}

outcome_of<std::optional<core::idempotency_key>>
read_key(const http::request& received)
{
    const auto field = GODWIT_TRY(single_field(received, "Idempotency-Key"));
    if (!field)
        return std::optional<core::idempotency_key>();
    if (field->empty() || field->size() > longest_key)
        return refuse(
            400,
            "bad_idempotency_key",
            "Idempotency-Key has " + std::to_string(field->size()) + " bytes",
            "send 1 to " + std::to_string(longest_key) + " bytes");
    return std::optional(core::idempotency_key(std::string(*field)));
}

outcome_of<request::repeatability>
read_repeatability(const http::request& received)
{
    const auto field = GODWIT_TRY(single_field(received, "Godwit-Repeatable"));
    if (!field || *field == "yes")
        return request::repeatability::repeatable;
    if (*field == "no")
        return request::repeatability::not_repeatable;
    return refuse(
        400,
        "bad_repeatable",
        "Godwit-Repeatable is neither yes nor no",
        "send \"Godwit-Repeatable: no\", or leave it out");
}

outcome_of<std::optional<core::duration>>
read_deadline(const http::request& received, const catalogue::service& service)
{
    const auto& limits = service.limits;
    const std::int64_t most = limits.maximum_deadline.count() > 0
                                  ? limits.maximum_deadline.count()
                                  : longest_deadline_ms;
    const auto field = GODWIT_TRY(single_field(received, "Godwit-Deadline-Ms"));
    if (!field) {
        if (limits.default_deadline.count() == 0)
            return std::optional<core::duration>();
        return std::optional<core::duration>(limits.default_deadline);
    }
    std::int64_t count = 0;
    const char* const last = field->data() + field->size();
    const auto [end, failure] = std::from_chars(field->data(), last, count);
    if (failure != std::errc() || end != last || count < 1 || count > most)
        return refuse(
            400,
            "bad_deadline",
            "Godwit-Deadline-Ms is not a whole number from 1 to " +
                std::to_string(most),
            "send the milliseconds that you are ready to wait");
    return std::optional<core::duration>(std::chrono::milliseconds(count));
}

// The outcome is not said to be `not_run`: the generation that the token
// names did run.
tl::unexpected<problem> refuse_resume(const core::error& why)
{
    unsigned status = 400;
    if (why.kind() == core::error_kind::unauthorised)
        status = 403;
    if (why.kind() == core::error_kind::expired)
        status = 410;
    auto refusal = refuse(
        status,
        "resume_refused",
        "Last-Event-ID: " + why.message(),
        why.remedy());
    refusal.value().outcome = core::outcome::unknown;
    return refusal;
}

/// The members of a completion's body.
struct completion_body
{
    std::optional<std::string> model;
    std::string prompt;
    std::optional<std::int64_t> max_tokens;
    std::optional<std::string> request_class;
    bool stream = false;
};

tl::unexpected<problem>
wrong_member(std::string_view name, std::string_view expected)
{
    return refuse(
        400,
        "bad_body",
        "the member \"" + std::string(name) + "\" is not " +
            std::string(expected),
        "correct or remove it");
}

outcome_of<std::optional<std::string>>
text_member(const json::object& body, std::string_view name)
{
    const json::value* value = body.if_contains(name);
    if (value == nullptr || value->is_null())
        return std::optional<std::string>();
    if (!value->is_string())
        return wrong_member(name, "a text");
    return std::optional(std::string(value->get_string()));
}

outcome_of<completion_body> read_body(const std::string& text)
{
    json::error_code failure;
    const auto parsed = json::parse(text, failure);
    if (failure || !parsed.is_object())
        return refuse(
            400,
            "malformed_json",
            failure ? "the body is not JSON (" + failure.message() + ")"
                    : std::string("the body is not a JSON object"),
            "send {\"model\": SERVICE, \"prompt\": TEXT, ...}");
    const auto& object = parsed.get_object();
    completion_body body;
    body.model = GODWIT_TRY(text_member(object, "model"));
    body.request_class = GODWIT_TRY(text_member(object, "class"));
    auto prompt = GODWIT_TRY(text_member(object, "prompt"));
    if (!prompt)
        return wrong_member("prompt", "there");
    body.prompt = *std::move(prompt);
    if (const auto* stream = object.if_contains("stream")) {
        if (!stream->is_bool())
            return wrong_member("stream", "true or false");
        body.stream = stream->get_bool();
    }
    if (const auto* limit = object.if_contains("max_tokens")) {
        json::error_code wrong;
        body.max_tokens = limit->to_number<std::int64_t>(wrong);
        if (wrong)
            return wrong_member("max_tokens", "a whole number");
    }
    return body;
}

outcome_of<std::uint32_t>
read_max_tokens(const completion_body& body, const catalogue::service& service)
{
    const std::int64_t most = service.limits.maximum_tokens;
    const std::int64_t wanted = body.max_tokens.value_or(most);
    if (wanted < 1 || wanted > most)
        return refuse(
            400,
            "bad_max_tokens",
            "max_tokens is not from 1 to " + std::to_string(most),
            "ask for fewer tokens, or leave it out");
    return static_cast<std::uint32_t>(wanted);
}

// Who asks decides how its generations share the engines; a call is of the
// class of what it calls.
core::request_class_name default_class(const caller_request& request)
{
    return request.kind == request::request_kind::generation
               ? request.organisation->default_class
               : request.service->default_class;
}

outcome_of<core::request_class_name> read_class(
    const std::optional<std::string>& named,
    const catalogue::state& from,
    const caller_request& request)
{
    if (!named)
        return default_class(request);
    core::request_class_name name(*named);
    if (!from.find_class(name))
        return refuse(
            400,
            "unknown_class",
            "there is no class '" + named->substr(0, 128) + "'",
            "use the name of a class in the catalogue, or leave it out");
    return name;
}

outcome_of<caller_request>
check_size(const http::request& received, caller_request request)
{
    const std::size_t most = request.service->limits.maximum_body_bytes;
    if (most == 0 || received.body.size() <= most)
        return request;
    return refuse(
        413,
        "body_too_large",
        "the body is larger than the service's " + std::to_string(most) +
            " bytes",
        "send a smaller body");
}

} // namespace

caller_request_reader::caller_request_reader(
    const catalogue::state& catalogue,
    const request::token_keyring& keys,
    std::int64_t unix_now)
    : catalogue_(catalogue), keys_(keys), unix_now_(unix_now)
{}

tl::expected<caller_request, problem>
caller_request_reader::read(const http::request& received) const
{
    const std::string_view path = path_of(received.target);
    const bool is_completion = path == completions_path;
    if (!is_completion && !path.starts_with(services_path))
        return refuse(
            404,
            "unknown_path",
            "there is nothing at this path",
            "use /v1/completions or /v1/services/{service}/");
    if (received.method != "POST")
        return refuse(
            405,
            "wrong_method",
            "the path takes POST only",
            "send the request with POST");

    caller_request request;
    request.organisation = GODWIT_TRY(read_organisation(received, catalogue_));
    request.key = GODWIT_TRY(read_key(received));
    request.fingerprint = claims::request_fingerprint::of(
        received.method, received.target, received.body.text());
    request.repeat = GODWIT_TRY(read_repeatability(received));
    request = is_completion
                  ? GODWIT_TRY(read_completion(received, std::move(request)))
                  : GODWIT_TRY(read_call(received, std::move(request)));
    request = GODWIT_TRY(check_size(received, std::move(request)));
    request.deadline = GODWIT_TRY(read_deadline(received, *request.service));
    return request;
}

tl::expected<caller_request, problem> caller_request_reader::read_completion(
    const http::request& received, caller_request request) const
{
    const auto last_event = GODWIT_TRY(single_field(received, "Last-Event-ID"));
    // A client that reconnects may send its request again or leave the body
    // out: the token says everything.
    completion_body body;
    if (!last_event || !received.body.empty())
        body = GODWIT_TRY(read_body(received.body));
    if (last_event) {
        const auto token =
            keys_.open(*last_event, request.organisation->name, unix_now_);
        if (!token)
            return refuse_resume(token.error());
        const bool other = body.model && *body.model != token->service.value();
        if (other)
            return wrong_member("model", "the service of Last-Event-ID");
        body.model = token->service.value();
        body.stream = true;
        request.resume = token->position;
        request.started_by = token->started_by;
    }
    if (!body.model)
        return wrong_member("model", "there");
    request.kind = request::request_kind::generation;
    request.service = GODWIT_TRY(read_service(
        catalogue_, *body.model, catalogue::service_kind::engine_pool));
    request.request_class =
        GODWIT_TRY(read_class(body.request_class, catalogue_, request));
    request.max_tokens = GODWIT_TRY(read_max_tokens(body, *request.service));
    request.mode = body.stream ? request::answer_mode::streamed
                               : request::answer_mode::whole;
    request.prompt = std::move(body.prompt);
    return request;
}

tl::expected<caller_request, problem> caller_request_reader::read_call(
    const http::request& received, caller_request request) const
{
    const auto rest =
        std::string_view(received.target).substr(services_path.size());
    const std::size_t end = rest.find_first_of("/?");
    const auto name = rest.substr(0, end);
    request.kind = request::request_kind::service_call;
    request.service = GODWIT_TRY(
        read_service(catalogue_, name, catalogue::service_kind::plain));
    request.request_class =
        GODWIT_TRY(read_class(std::nullopt, catalogue_, request));
    const auto behind =
        end == std::string_view::npos ? std::string_view() : rest.substr(end);
    const bool needs_slash = !behind.starts_with('/');
    request.passed_on.method = received.method;
    request.passed_on.target = (needs_slash ? "/" : "") + std::string(behind);
    request.passed_on.fields = passed_on(received.fields);
    request.passed_on.body = received.body;
    return request;
}

} // namespace godwit::proxy
