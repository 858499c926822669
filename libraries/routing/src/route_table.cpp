#include <godwit/routing/route_table.hpp>

#include <algorithm>
#include <cctype>
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

core::error refusal(std::string what)
{
    return core::error(
        core::error_kind::invalid_input,
        std::move(what),
        "publish a corrected table; the last good one stays in force");
}

} // namespace

route_table::route_table(route_table_content content)
    : content_(std::move(content))
{}

core::result<std::shared_ptr<const route_table>>
route_table::create(route_table_content content)
{
    std::shared_ptr<route_table> made(new route_table(std::move(content)));
    const auto indexed = made->index();
    if (!indexed)
        return tl::unexpected(indexed.error());
    return std::shared_ptr<const route_table>(std::move(made));
}

core::result<void> route_table::check(const route& checked) const
{
    const std::string& prefix = checked.path_prefix;
    if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/')
        return tl::unexpected(refusal(
            "route " + checked.name + ": the prefix \"" + prefix +
            "\" does not begin and end with a slash"));
    if (checked.services.empty())
        return tl::unexpected(
            refusal("route " + checked.name + " names no service"));
    for (const weighted_service& one : checked.services) {
        if (!services_.contains(one.service))
            return tl::unexpected(refusal(
                "route " + checked.name + " names the service " +
                one.service.value() + ", which is not there"));
    }
    return {};
}

core::result<void> route_table::index()
{
    for (std::size_t at = 0; at < content_.services.size(); ++at)
        services_.emplace(content_.services[at].name, at);
    for (std::size_t at = 0; at < content_.routes.size(); ++at) {
        const route& one = content_.routes[at];
        const auto checked = check(one);
        if (!checked)
            return checked;
        routes_by_host_[lower_case(one.host)].push_back(at);
    }
    for (auto& [host, positions] : routes_by_host_) {
        const auto prefix = [this](std::size_t at) -> const std::string& {
            return content_.routes[at].path_prefix;
        };
        // The longest first, so that the first match is the right one.
        std::stable_sort(
            positions.begin(),
            positions.end(),
            [&prefix](std::size_t left, std::size_t right) {
                return prefix(left).size() > prefix(right).size();
            });
    }
    for (std::size_t at = 0; at < content_.organisations.size(); ++at) {
        for (const std::string& key : content_.organisations[at].keys) {
            if (!organisations_by_key_.emplace(key, at).second)
                return tl::unexpected(refusal(
                    "organisation " + content_.organisations[at].name.value() +
                    " holds a key of another one"));
        }
    }
    return {};
}

const route*
route_table::find_route(std::string_view host, std::string_view path) const
{
    const auto found = routes_by_host_.find(lower_case(without_port(host)));
    if (found == routes_by_host_.end())
        return nullptr;
    for (const std::size_t at : found->second) {
        const route& candidate = content_.routes[at];
        if (path.starts_with(candidate.path_prefix))
            return &candidate;
    }
    return nullptr;
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
