#include "entry_codec.hpp"

#include "object_reader.hpp"
#include "text_rules.hpp"

#include <godwit/catalogue/codec.hpp>
#include <godwit/catalogue/limits.hpp>

#include <algorithm>
#include <limits>

namespace godwit::catalogue {

namespace {

namespace json = boost::json;
using presence = object_reader::presence;

constexpr std::uint64_t maximum_concurrency = 100'000;
constexpr std::uint64_t maximum_tokens_per_second = 10'000'000;
constexpr std::uint64_t maximum_queue_bound = 100'000;
constexpr std::uint64_t maximum_deadline_ms = 24UL * 3600 * 1000;
constexpr std::uint64_t maximum_generation_tokens = 1'000'000;
constexpr std::uint64_t maximum_body_bytes = 64UL * 1024 * 1024;
constexpr std::uint64_t maximum_replicas = 10'000;
constexpr std::uint64_t maximum_weight = 1000;
constexpr std::uint64_t whole_per_mille = 1000;
constexpr std::uint64_t maximum_priority = 9;
constexpr std::uint64_t maximum_longest_wait_ms = maximum_deadline_ms;
constexpr std::uint64_t minimum_memory_overcommit = 500;
constexpr std::uint64_t maximum_memory_overcommit = 2000;
constexpr std::uint64_t whole_percent = 100;
constexpr std::uint64_t maximum_version =
    std::numeric_limits<std::int64_t>::max();

std::uint32_t narrow(std::uint64_t value)
{
    return static_cast<std::uint32_t>(value);
}

json::object encode(const organisation& value)
{
    json::array hashes;
    for (const std::string& hash : value.token_hashes)
        hashes.emplace_back(hash);
    return {
        {"name", value.name.value()},
        {"owner", value.owner.value()},
        {"class", value.default_class.value()},
        {"token_hashes", std::move(hashes)},
        {"limits",
         json::object{
             {"concurrency", value.limits.concurrency},
             {"tokens_per_second", value.limits.tokens_per_second}}}};
}

json::object encode(const service_limits& value)
{
    return {
        {"queue_bound", value.queue_bound},
        {"default_deadline_ms", value.default_deadline.count()},
        {"maximum_deadline_ms", value.maximum_deadline.count()},
        {"maximum_tokens", value.maximum_tokens},
        {"maximum_body_bytes", value.maximum_body_bytes}};
}

json::object encode(const service& value)
{
    json::array targets;
    for (const engine_target& target : value.engine_targets) {
        targets.emplace_back(json::object{
            {"model", target.model},
            {"adapter", target.adapter},
            {"version", target.version},
            {"replicas", target.replicas}});
    }
    json::object object{
        {"name", value.name.value()},
        {"owner", value.owner.value()},
        {"class", value.default_class.value()},
        {"kind", to_string(value.kind)},
        {"model", value.model},
        {"adapter", value.adapter},
        {"model_version", value.model_version},
        {"limits", encode(value.limits)},
        {"deduplicates", value.deduplicates},
        {"checks_fencing", value.checks_fencing},
        {"retry_budget_percent", value.retry_budget_percent},
        {"engine_targets", std::move(targets)}};
    // Left out while it has its default, so that releases that do not know it
    // come to the same hash.
    if (value.memory_overcommit_per_mille != service::default_memory_overcommit)
        object["memory_overcommit_per_mille"] =
            value.memory_overcommit_per_mille;
    return object;
}

json::object encode(const request_class& value)
{
    json::object object{
        {"name", value.name.value()},
        {"owner", value.owner.value()},
        {"weight", value.weight},
        {"memory_floor_per_mille", value.memory_floor_per_mille},
        {"starts_floor_per_mille", value.starts_floor_per_mille},
        {"priority", value.priority},
        {"length_hint", to_string(value.hint)}};
    // Left out for the hash, as above.
    if (value.longest_wait.count() != 0)
        object["longest_wait_ms"] = value.longest_wait.count();
    return object;
}

core::result<std::uint64_t>
read_version(object_reader& reader, version_field version)
{
    if (version == version_field::absent)
        return 0;
    return reader.number("version", 1, maximum_version);
}

core::result<std::vector<std::string>> read_token_hashes(object_reader& reader)
{
    std::vector<std::string> hashes;
    const json::array* items = GODWIT_TRY(
        reader.array("token_hashes", maximum_tokens_of_organisation));
    if (items == nullptr)
        return hashes;
    for (std::size_t index = 0; index < items->size(); ++index) {
        const std::string key = "token_hashes[" + std::to_string(index) + "]";
        const json::value& item = (*items)[index];
        if (!item.is_string() || !is_sha256_digits(item.get_string())) {
            return reader.refuse(
                key,
                "is no SHA-256 in lower-case hexadecimal digits",
                "write what 'godwitctl hash-token TOKEN' prints");
        }
        hashes.emplace_back(item.get_string());
    }
    // The order has no meaning; one order makes equal contents equal bytes.
    std::sort(hashes.begin(), hashes.end());
    if (std::adjacent_find(hashes.begin(), hashes.end()) != hashes.end()) {
        return reader.refuse(
            "token_hashes", "lists a token twice", "list each token once");
    }
    return hashes;
}

core::result<organisation_limits> read_organisation_limits(object_reader& outer)
{
    const json::value* value = outer.member("limits");
    if (value == nullptr)
        return outer.refuse("limits", "is missing", "add the limits");
    auto reader =
        GODWIT_TRY(object_reader::create(*value, outer.path_of("limits")));
    organisation_limits limits;
    limits.concurrency = narrow(
        GODWIT_TRY(reader.number("concurrency", 1, maximum_concurrency)));
    limits.tokens_per_second = narrow(GODWIT_TRY(
        reader.number("tokens_per_second", 1, maximum_tokens_per_second)));
    return reader.finish(limits);
}

core::result<organisation>
decode_organisation(object_reader& reader, version_field version)
{
    organisation value;
    value.name = core::organisation_name(GODWIT_TRY(reader.name("name")));
    value.owner = core::operator_name(GODWIT_TRY(reader.name("owner")));
    value.version = GODWIT_TRY(read_version(reader, version));
    value.default_class =
        core::request_class_name(GODWIT_TRY(reader.name("class")));
    value.token_hashes = GODWIT_TRY(read_token_hashes(reader));
    value.limits = GODWIT_TRY(read_organisation_limits(reader));
    return reader.finish(std::move(value));
}

core::result<service_kind> read_service_kind(object_reader& reader)
{
    const auto text = GODWIT_TRY(reader.name("kind"));
    for (const auto kind : {service_kind::engine_pool, service_kind::plain}) {
        if (text == to_string(kind))
            return kind;
    }
    return reader.refuse(
        "kind", "'" + text + "' is unknown", "write engine_pool or plain");
}

core::result<service_limits>
read_service_limits(object_reader& outer, service_kind kind)
{
    const json::value* value = outer.member("limits");
    if (value == nullptr)
        return outer.refuse("limits", "is missing", "add the limits");
    auto reader =
        GODWIT_TRY(object_reader::create(*value, outer.path_of("limits")));
    service_limits limits;
    limits.queue_bound = narrow(
        GODWIT_TRY(reader.number("queue_bound", 1, maximum_queue_bound)));
    limits.default_deadline = std::chrono::milliseconds(GODWIT_TRY(
        reader.number("default_deadline_ms", 1, maximum_deadline_ms)));
    limits.maximum_deadline = std::chrono::milliseconds(GODWIT_TRY(
        reader.number("maximum_deadline_ms", 1, maximum_deadline_ms)));
    if (limits.default_deadline > limits.maximum_deadline) {
        return reader.refuse(
            "default_deadline_ms",
            "is above maximum_deadline_ms",
            "lower it or raise maximum_deadline_ms");
    }
    const bool generates = kind == service_kind::engine_pool;
    limits.maximum_tokens = narrow(
        generates ? GODWIT_TRY(reader.number(
                        "maximum_tokens", 1, maximum_generation_tokens))
                  : GODWIT_TRY(reader.number_or("maximum_tokens", 0, 0, 0)));
    limits.maximum_body_bytes = narrow(
        GODWIT_TRY(reader.number("maximum_body_bytes", 1, maximum_body_bytes)));
    return reader.finish(limits);
}

core::result<engine_target>
decode_engine_target(const json::value& value, std::string path)
{
    auto reader = GODWIT_TRY(object_reader::create(value, std::move(path)));
    engine_target target;
    target.model = GODWIT_TRY(reader.text("model"));
    target.adapter = GODWIT_TRY(reader.text("adapter", presence::optional));
    target.version = GODWIT_TRY(reader.text("version"));
    target.replicas =
        narrow(GODWIT_TRY(reader.number("replicas", 0, maximum_replicas)));
    return reader.finish(std::move(target));
}

core::result<std::vector<engine_target>>
read_engine_targets(object_reader& reader)
{
    std::vector<engine_target> targets;
    const json::array* items =
        GODWIT_TRY(reader.array("engine_targets", maximum_engine_targets));
    if (items == nullptr)
        return targets;
    for (std::size_t index = 0; index < items->size(); ++index) {
        targets.push_back(GODWIT_TRY(decode_engine_target(
            (*items)[index],
            reader.path_of("engine_targets[" + std::to_string(index) + "]"))));
    }
    return targets;
}

core::result<void>
check_model(const object_reader& reader, const service& value)
{
    if (value.kind == service_kind::engine_pool) {
        if (!value.model.empty() && !value.model_version.empty())
            return {};
        return reader.refuse(
            value.model.empty() ? "model" : "model_version",
            "is missing for an engine pool",
            "name the model and its version");
    }
    if (value.model.empty() && value.adapter.empty() &&
        value.model_version.empty() && value.engine_targets.empty())
        return {};
    return reader.refuse(
        "model",
        "a plain service has no model, adapter, version or engine targets",
        "remove them, or make the kind engine_pool");
}

core::result<std::uint32_t>
read_memory_overcommit(object_reader& reader, service_kind kind)
{
    constexpr auto key = "memory_overcommit_per_mille";
    if (kind == service_kind::plain && reader.member(key) != nullptr) {
        return reader.refuse(
            key,
            "a plain service has no engine memory",
            "remove it, or make the kind engine_pool");
    }
    return narrow(GODWIT_TRY(reader.number_or(
        key,
        minimum_memory_overcommit,
        maximum_memory_overcommit,
        service::default_memory_overcommit)));
}

core::result<service>
decode_service(object_reader& reader, version_field version)
{
    service value;
    value.name = core::service_name(GODWIT_TRY(reader.name("name")));
    value.owner = core::operator_name(GODWIT_TRY(reader.name("owner")));
    value.version = GODWIT_TRY(read_version(reader, version));
    value.default_class =
        core::request_class_name(GODWIT_TRY(reader.name("class")));
    value.kind = GODWIT_TRY(read_service_kind(reader));
    value.model = GODWIT_TRY(reader.text("model", presence::optional));
    value.adapter = GODWIT_TRY(reader.text("adapter", presence::optional));
    value.model_version =
        GODWIT_TRY(reader.text("model_version", presence::optional));
    value.limits = GODWIT_TRY(read_service_limits(reader, value.kind));
    value.deduplicates = GODWIT_TRY(reader.flag("deduplicates"));
    value.checks_fencing = GODWIT_TRY(reader.flag("checks_fencing"));
    value.retry_budget_percent = narrow(GODWIT_TRY(
        reader.number_or("retry_budget_percent", 0, whole_percent, 10)));
    value.engine_targets = GODWIT_TRY(read_engine_targets(reader));
    value.memory_overcommit_per_mille =
        GODWIT_TRY(read_memory_overcommit(reader, value.kind));
    if (auto checked = check_model(reader, value); !checked)
        return tl::unexpected(std::move(checked).error());
    return reader.finish(std::move(value));
}

core::result<length_hint> read_length_hint(object_reader& reader)
{
    const auto text =
        GODWIT_TRY(reader.name("length_hint", presence::optional));
    if (text.empty())
        return length_hint::unknown;
    for (const auto hint :
         {length_hint::unknown,
          length_hint::short_answers,
          length_hint::long_answers}) {
        if (text == to_string(hint))
            return hint;
    }
    return reader.refuse(
        "length_hint",
        "'" + text + "' is unknown",
        "write unknown, short or long");
}

core::result<request_class>
decode_class(object_reader& reader, version_field version)
{
    request_class value;
    value.name = core::request_class_name(GODWIT_TRY(reader.name("name")));
    value.owner = core::operator_name(GODWIT_TRY(reader.name("owner")));
    value.version = GODWIT_TRY(read_version(reader, version));
    value.weight =
        narrow(GODWIT_TRY(reader.number("weight", 1, maximum_weight)));
    value.memory_floor_per_mille = narrow(GODWIT_TRY(
        reader.number_or("memory_floor_per_mille", 0, whole_per_mille, 0)));
    value.starts_floor_per_mille = narrow(GODWIT_TRY(
        reader.number_or("starts_floor_per_mille", 0, whole_per_mille, 0)));
    value.priority = narrow(
        GODWIT_TRY(reader.number_or("priority", 0, maximum_priority, 0)));
    value.hint = GODWIT_TRY(read_length_hint(reader));
    value.longest_wait = std::chrono::milliseconds(GODWIT_TRY(
        reader.number_or("longest_wait_ms", 0, maximum_longest_wait_ms, 0)));
    return reader.finish(std::move(value));
}

} // namespace

json::object encode_entry(const entry& value, version_field version)
{
    auto object =
        std::visit([](const auto& each) { return encode(each); }, value);
    if (version == version_field::present)
        object["version"] = version_of(value);
    return object;
}

core::result<entry> decode_entry(
    entry_kind kind,
    const json::value& value,
    const std::string& path,
    version_field version)
{
    auto reader = GODWIT_TRY(object_reader::create(value, path));
    switch (kind) {
    case entry_kind::organisation:
        return GODWIT_TRY(decode_organisation(reader, version));
    case entry_kind::service:
        return GODWIT_TRY(decode_service(reader, version));
    case entry_kind::request_class:
        return GODWIT_TRY(decode_class(reader, version));
    }
    return reader.refuse("kind", "is unknown", "use a known kind");
}

json::object to_json(const entry& value)
{
    return encode_entry(value, version_field::present);
}

core::result<entry> parse_entry(entry_kind kind, const json::value& value)
{
    return decode_entry(kind, value, "", version_field::present);
}

} // namespace godwit::catalogue
