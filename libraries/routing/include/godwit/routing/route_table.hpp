#pragma once

#include <godwit/core/result.hpp>
#include <godwit/routing/caller_limits.hpp>
#include <godwit/routing/organisation.hpp>
#include <godwit/routing/route.hpp>
#include <godwit/routing/service.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace godwit::routing {

/// What a route table is made of.
struct route_table_content
{
    std::uint64_t version = 0; ///< Rises with each accepted change.
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<organisation> organisations;
    caller_limits limits;

    friend bool operator==(
        const route_table_content&, const route_table_content&) = default;
};

/// One version of the routes, services and organisations, immutable.
class route_table
{
public:
    /// Fails with `invalid_input` on a prefix that does not begin and end
    /// with a slash, a route without a service or to one that is not there,
    /// two routes of one host and prefix, or a key of two organisations.
    [[nodiscard]] static core::result<std::shared_ptr<const route_table>>
    create(route_table_content content);

    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return content_.version;
    }

    [[nodiscard]] const route_table_content& content() const noexcept
    {
        return content_;
    }

    /// The route of `host` (a port behind it is ignored) with the longest
    /// prefix that begins `path`, or null.
    [[nodiscard]] const route*
    find_route(std::string_view host, std::string_view path) const;

    /// The service of that name, or null.
    [[nodiscard]] const service*
    find_service(const core::service_name& name) const;

    /// Whether the service of that name is a language model's.
    [[nodiscard]] bool has_engines(const core::service_name& name) const;

    /// The organisation that holds `key`, or null.
    [[nodiscard]] const organisation*
    find_organisation(const std::string& key) const;

    /// Whether requests have to carry a key at all.
    [[nodiscard]] bool has_organisations() const noexcept
    {
        return !content_.organisations.empty();
    }

    friend bool operator==(const route_table& left, const route_table& right)
    {
        return left.content_ == right.content_;
    }

private:
    explicit route_table(route_table_content content);

    [[nodiscard]] core::result<void> index();
    [[nodiscard]] core::result<void> check(const route& checked) const;

    route_table_content content_;
    // Positions in the content, so that a table stays valid when moved.
    std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host_;
    std::unordered_map<core::service_name, std::size_t> services_;
    std::unordered_map<std::string, std::size_t> organisations_by_key_;
};

} // namespace godwit::routing
