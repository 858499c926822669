#include <godwit/catalogue/entry.hpp>

#include <utility>

namespace godwit::catalogue {

namespace {

struct key_visitor
{
    entry_key operator()(const organisation& value) const
    {
        return {entry_kind::organisation, value.name.value()};
    }

    entry_key operator()(const service& value) const
    {
        return {entry_kind::service, value.name.value()};
    }

    entry_key operator()(const request_class& value) const
    {
        return {entry_kind::request_class, value.name.value()};
    }
};

} // namespace

entry_key key_of(const entry& value)
{
    return std::visit(key_visitor(), value);
}

const core::operator_name& owner_of(const entry& value)
{
    return std::visit(
        [](const auto& each) -> const core::operator_name& {
            return each.owner;
        },
        value);
}

std::uint64_t version_of(const entry& value)
{
    return std::visit([](const auto& each) { return each.version; }, value);
}

entry with_version(entry value, std::uint64_t version)
{
    std::visit([version](auto& each) { each.version = version; }, value);
    return value;
}

} // namespace godwit::catalogue
