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
    /// or a key of two organisations. Of two routes of one host and prefix the
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
    friend class route_table_builder;

    // Texts are looked up by parts of a request's path, without a copy.
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
        std::size_t longest_prefix = 0; ///< Its length in bytes.
    };

    explicit route_table(route_table_content content);

    void index_services();
    [[nodiscard]] core::result<void> index_route(std::size_t at);
    [[nodiscard]] core::result<void> index_organisation(std::size_t at);
    [[nodiscard]] core::result<void> check(const route& checked) const;

    route_table_content content_;
    // Positions in the content, so that a table stays valid when moved.
    text_map<host_routes> routes_by_host_;
    std::unordered_map<core::service_name, std::size_t> services_;
    std::unordered_map<std::string, std::size_t> organisations_by_key_;
};

} // namespace godwit::routing
