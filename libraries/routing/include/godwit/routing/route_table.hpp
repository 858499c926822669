#pragma once

#include <godwit/core/result.hpp>
#include <godwit/routing/caller_limits.hpp>
#include <godwit/routing/organisation.hpp>
#include <godwit/routing/route.hpp>
#include <godwit/routing/service.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace godwit::routing {

/// The content of a route table.
struct route_table_content
{
    std::uint64_t version = 0; ///< Increases with each accepted change.
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<organisation> organisations;
    caller_limits limits;

    friend bool operator==(
        const route_table_content&, const route_table_content&) = default;
};

/// An immutable version of the routes, services and organisations.
class route_table
{
public:
    /// Fails with `invalid_input` if a prefix does not start and end with a
    /// slash, a route has no service or an unknown one, or two organisations
    /// have the same key. Of two routes with the same host and prefix, the
    /// first one is used.
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

    /// Returns the route of `host` (without its port) with the longest prefix
    /// of `path`, or null.
    [[nodiscard]] const route*
    find_route(std::string_view host, std::string_view path) const;

    /// Returns the service with that name, or null.
    [[nodiscard]] const service*
    find_service(const core::service_name& name) const;

    /// Whether the service with that name is a language model, whose backend
    /// servers are called engines.
    [[nodiscard]] bool has_engines(const core::service_name& name) const;

    /// Returns the organisation that has `key`, or null.
    [[nodiscard]] const organisation*
    find_organisation(const std::string& key) const;

    /// Whether requests need a key at all.
    [[nodiscard]] bool has_organisations() const noexcept
    {
        return !content_.organisations.empty();
    }

    friend bool operator==(const route_table& left, const route_table& right)
    {
        return left.content_ == right.content_;
    }

private:
    friend class route_table_builder;

    // Transparent, so that parts of a request's path are looked up without a
    // copy.
    struct text_hash
    {
        using is_transparent = void;

        std::size_t operator()(std::string_view text) const noexcept
        {
            return std::hash<std::string_view>()(text);
        }
    };

    template<class Value>
    using text_map =
        std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;

    struct host_routes
    {
        text_map<std::size_t> by_prefix;
        std::size_t longest_prefix = 0; ///< In bytes.
    };

    explicit route_table(route_table_content content);

    void index_services();
    [[nodiscard]] core::result<void> index_route(std::size_t index);
    [[nodiscard]] core::result<void> index_organisation(std::size_t index);
    [[nodiscard]] core::result<void> check(const route& checked) const;

    route_table_content content_;
    // The maps hold indices into the content, so that a table stays valid when
    // it is moved.
    text_map<host_routes> routes_by_host_;
    std::unordered_map<core::service_name, std::size_t> services_;
    std::unordered_map<std::string, std::size_t> organisations_by_key_;
};

} // namespace godwit::routing
