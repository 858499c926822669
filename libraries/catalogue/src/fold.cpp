#include "change_set_codec.hpp"
#include "cross_checks.hpp"
#include "object_reader.hpp"
#include "state_builder.hpp"

#include <godwit/catalogue/fold.hpp>

#include <boost/json/serialize.hpp>

#include <cassert>
#include <limits>

namespace godwit::catalogue {

namespace {

namespace json = boost::json;

std::string path_of(std::size_t index)
{
    return "changes[" + std::to_string(index) + "]";
}

refusal refuse(
    refusal_reason reason,
    core::error_kind kind,
    std::string message,
    std::string remedy)
{
    return {
        reason,
        core::error(kind, std::move(message), std::move(remedy)),
        std::nullopt};
}

refusal conflict(const std::string& path, const change& step, std::uint64_t now)
{
    refusal result = refuse(
        refusal_reason::conflict,
        core::error_kind::conflict,
        path + ": " + step.key.to_string() + " is at version " +
            std::to_string(now) + ", not " +
            std::to_string(step.expected_version),
        now == 0 ? "publish without an expected version to create it anew"
                 : "look at what changed with 'godwitctl get " +
                       step.key.to_string() +
                       "', then publish again under a new change id with "
                       "expected_version " +
                       std::to_string(now));
    result.current_version = now;
    return result;
}

// The checks that need only the state before the change set.
std::optional<refusal>
check_against(const state& before, const change_set& changes)
{
    for (std::size_t index = 0; index < changes.changes.size(); ++index) {
        const change& step = changes.changes[index];
        const auto existing = before.find(step.key);
        const std::uint64_t version = existing ? version_of(*existing) : 0;
        // Ownership first: a version is of no use to one who may not change
        // the entry anyway.
        if (existing && owner_of(*existing) != changes.published_by) {
            return refuse(
                refusal_reason::not_owner,
                core::error_kind::unauthorised,
                path_of(index) + ": " + step.key.to_string() + " belongs to " +
                    owner_of(*existing).value(),
                "ask its owner to publish the change, or to transfer the "
                "entry");
        }
        if (version != step.expected_version)
            return conflict(path_of(index), step, version);
        if (!existing && step.value &&
            owner_of(*step.value) != changes.published_by) {
            return refuse(
                refusal_reason::not_owner,
                core::error_kind::unauthorised,
                path_of(index) +
                    ".value.owner: a new entry belongs to its "
                    "operator " +
                    changes.published_by.value(),
                "leave the owner out, and transfer the entry afterwards");
        }
    }
    return std::nullopt;
}

void apply(
    state_builder& builder, const change_set& changes, std::uint64_t version)
{
    for (const change& step : changes.changes) {
        if (step.value) {
            builder.put(with_version(*step.value, version));
            builder.remove_tombstone(step.key);
        } else {
            builder.remove(step.key);
            builder.put(tombstone{step.key, version, changes.published_by});
        }
    }
}

verdict
decide(state_builder& builder, const change_set& changes, std::uint64_t offset)
{
    verdict result;
    result.offset = offset;
    result.id = changes.id;
    result.published_by = changes.published_by;
    const std::uint64_t content_hash =
        core::stable_hash(json::serialize(encode_change_set(changes)));
    const decided_change* earlier =
        builder.current().find_decision(changes.id, changes.published_by);
    if (earlier != nullptr && earlier->content_hash == content_hash) {
        result.kind = verdict_kind::repeated;
        result.first_offset = earlier->offset;
        result.first_accepted = earlier->accepted;
        return result;
    }
    if (earlier != nullptr) {
        // Not noted: the id stays with its first content.
        result.kind = verdict_kind::refused;
        result.refused = refuse(
            refusal_reason::change_id_reused,
            core::error_kind::conflict,
            "change_id: " + changes.id.value() +
                " names another change set, decided at offset " +
                std::to_string(earlier->offset),
            "publish under a new change id");
        return result;
    }
    result.refused = check_against(builder.current(), changes);
    if (!result.refused) {
        state_builder changed(builder.current());
        apply(changed, changes, offset + 1);
        result.refused =
            check_together(builder.current(), changed.current(), changes);
        if (!result.refused)
            builder = std::move(changed);
    }
    const bool accepted = !result.refused;
    result.kind = accepted ? verdict_kind::accepted : verdict_kind::refused;
    builder.note(
        {changes.id, changes.published_by, offset, content_hash, accepted});
    return result;
}

verdict malformed(std::uint64_t offset, core::error failure)
{
    verdict result;
    result.kind = verdict_kind::refused;
    result.offset = offset;
    result.refused =
        refusal{refusal_reason::malformed, std::move(failure), std::nullopt};
    return result;
}

core::result<std::uint64_t> decode_tombstone_drop(const json::value& document)
{
    auto reader = GODWIT_TRY(object_reader::create(document, ""));
    static_cast<void>(reader.member(record_type_key));
    const auto offset = GODWIT_TRY(reader.number(
        "before_offset", 0, std::numeric_limits<std::int64_t>::max()));
    return reader.finish(offset);
}

verdict fold_tombstone_drop(
    state_builder& builder, const json::value& document, std::uint64_t offset)
{
    const auto before = decode_tombstone_drop(document);
    if (!before)
        return malformed(offset, before.error());
    builder.drop_tombstones(*before);
    verdict result;
    result.offset = offset;
    return result;
}

verdict fold_document(
    state_builder& builder, const json::value& document, std::uint64_t offset)
{
    const json::object* object = document.if_object();
    const json::value* type =
        object == nullptr ? nullptr : object->if_contains(record_type_key);
    if (type != nullptr && type->is_string()) {
        const std::string_view name = type->get_string();
        if (name == tombstone_drop_type)
            return fold_tombstone_drop(builder, document, offset);
        if (name == checkpoint_type) {
            verdict result;
            result.offset = offset;
            return result;
        }
        if (name != change_set_type) {
            return malformed(
                offset,
                core::error(
                    core::error_kind::invalid_input,
                    "record: '" + std::string(name) + "' is no known type",
                    "publish with a godwitctl of this release"));
        }
    }
    auto changes = decode_change_set(document);
    if (!changes)
        return malformed(offset, changes.error());
    return decide(builder, *changes, offset);
}

} // namespace

fold_result fold(const state_pointer& current, const record& next)
{
    assert(next.offset == current->next_offset());
    state_builder builder(*current);
    const auto document = parse_json(next.data);
    const verdict decision =
        document ? fold_document(builder, *document, next.offset)
                 : malformed(next.offset, document.error());
    builder.advance_to(next.offset + 1);
    return {builder.build(), decision};
}

} // namespace godwit::catalogue
