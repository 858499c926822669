#include <godwit/catalogue/state.hpp>

#include "state_builder.hpp"

#include <algorithm>

namespace godwit::catalogue {

state_pointer state::empty()
{
    static const state_pointer instance = state_builder().build();
    return instance;
}

std::shared_ptr<const organisation>
state::find_organisation(const core::organisation_name& name) const
{
    return organisations_.find(name.value());
}

std::shared_ptr<const service>
state::find_service(const core::service_name& name) const
{
    return services_.find(name.value());
}

std::shared_ptr<const request_class>
state::find_class(const core::request_class_name& name) const
{
    return classes_.find(name.value());
}

std::shared_ptr<const organisation>
state::find_organisation_by_token(std::string_view token_hash) const
{
    const auto name = tokens_.find(token_hash);
    return name ? find_organisation(*name) : nullptr;
}

std::optional<entry> state::find(const entry_key& key) const
{
    const auto as_entry = [](const auto& found) -> std::optional<entry> {
        if (!found)
            return std::nullopt;
        return entry(*found);
    };
    switch (key.kind) {
    case entry_kind::organisation:
        return as_entry(organisations_.find(key.name));
    case entry_kind::service:
        return as_entry(services_.find(key.name));
    case entry_kind::request_class:
        return as_entry(classes_.find(key.name));
    }
    return std::nullopt;
}

std::shared_ptr<const tombstone>
state::find_tombstone(const entry_key& key) const
{
    return tombstones_.find(key.to_string());
}

const decided_change* state::find_decision(
    const change_id& id, const core::operator_name& published_by) const
{
    return window_.find(id, published_by);
}

std::vector<entry> state::entries() const
{
    std::vector<entry> all;
    const auto collect = [&all](const std::string&, const auto& value) {
        all.emplace_back(value);
    };
    classes_.for_each(collect);
    services_.for_each(collect);
    organisations_.for_each(collect);
    std::sort(all.begin(), all.end(), [](const entry& a, const entry& b) {
        return key_of(a) < key_of(b);
    });
    return all;
}

} // namespace godwit::catalogue
