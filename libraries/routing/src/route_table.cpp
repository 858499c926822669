#include <godwit/routing/route_table.hpp>

#include <godwit/routing/route_table_builder.hpp>

#include <algorithm>
#include <cctype>
#include <limits>
#include <utility>

namespace godwit::routing {

namespace {

std::string lower_case(std::string_view text)
{
    std::string lowered(text);
    std::transform(
        lowered.begin(), lowered.end(), lowered.begin(), [](unsigned char c) {
            return static_cast<char>(std::tolower(c));
        });
    return lowered;
}

std::string_view without_port(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

core::error invalid_table(std::string what)
{
    return core::error(
        core::error_kind::invalid_input,
        std::move(what),
        "publish a corrected table; the last valid one stays in force");
}

} // namespace

route_table::route_table(route_table_content content)
    : content_(std::move(content))
{}

core::result<std::shared_ptr<const route_table>>
route_table::create(route_table_content content)
{
    constexpr std::size_t all = std::numeric_limits<std::size_t>::max();
    route_table_builder builder(std::move(content));
    [[maybe_unused]] const bool is_done = GODWIT_TRY(builder.index_next(all));
    return builder.finish();
}

core::result<void> route_table::check(const route& checked) const
{
    const std::string& prefix = checked.path_prefix;
    if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/')
        return tl::unexpected(invalid_table(
            "route " + checked.name + ": the prefix \"" + prefix +
            "\" does not start and end with a slash"));
    if (checked.services.empty())
        return tl::unexpected(
            invalid_table("route " + checked.name + " has no service"));
    for (const weighted_service& weighted : checked.services) {
        if (!services_.contains(weighted.service))
            return tl::unexpected(invalid_table(
                "route " + checked.name + " uses the service " +
                weighted.service.value() + ", which does not exist"));
    }
    return {};
}

void route_table::index_services()
{
    for (std::size_t index = 0; index < content_.services.size(); ++index)
        services_.emplace(content_.services[index].name, index);
    organisations_by_key_.reserve(content_.organisations.size());
}

core::result<void> route_table::index_route(std::size_t index)
{
    const route& added = content_.routes[index];
    const auto checked = check(added);
    if (!checked)
        return checked;
    host_routes& routes = routes_by_host_[lower_case(added.host)];
    routes.by_prefix.emplace(added.path_prefix, index);
    routes.longest_prefix =
        std::max(routes.longest_prefix, added.path_prefix.size());
    return {};
}

core::result<void> route_table::index_organisation(std::size_t index)
{
    for (const std::string& key : content_.organisations[index].keys) {
        const auto [owner, is_new] = organisations_by_key_.emplace(key, index);
        if (!is_new && owner->second != index)
            return tl::unexpected(invalid_table(
                "organisation " + content_.organisations[index].name.value() +
                " has a key of another organisation"));
    }
    return {};
}

const route*
route_table::find_route(std::string_view host, std::string_view path) const
{
    const auto found = routes_by_host_.find(lower_case(without_port(host)));
    if (found == routes_by_host_.end())
        return nullptr;
    // Prefixes end with a slash; a path may be much longer than any of them.
    const host_routes& routes = found->second;
    std::string_view prefix = path.substr(0, routes.longest_prefix);
    while (true) {
        const std::size_t slash = prefix.rfind('/');
        if (slash == std::string_view::npos)
            return nullptr;
        prefix = prefix.substr(0, slash + 1);
        const auto route_at = routes.by_prefix.find(prefix);
        if (route_at != routes.by_prefix.end())
            return &content_.routes[route_at->second];
        prefix.remove_suffix(1);
    }
}

const service* route_table::find_service(const core::service_name& name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr
                                    : &content_.services[found->second];
}

bool route_table::has_engines(const core::service_name& name) const
{
    const service* found = find_service(name);
    return found != nullptr && found->engine.has_value();
}

const organisation* route_table::find_organisation(const std::string& key) const
{
    const auto found = organisations_by_key_.find(key);
    return found == organisations_by_key_.end()
               ? nullptr
               : &content_.organisations[found->second];
}

} // namespace godwit::routing
