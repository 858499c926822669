#include <godwit/routing/route_table_builder.hpp>

#include <algorithm>
#include <utility>

namespace godwit::routing {

route_table_builder::route_table_builder(route_table_content content)
    : table_(new route_table(std::move(content)))
{
    table_->index_services();
}

core::result<bool> route_table_builder::index_next(std::size_t count)
{
    const route_table_content& content = table_->content();
    const std::size_t routes_end =
        std::min(routes_ + count, content.routes.size());
    count -= routes_end - routes_;
    for (; routes_ < routes_end; ++routes_)
        GODWIT_TRY(table_->index_route(routes_));
    const std::size_t organisations_end =
        std::min(organisations_ + count, content.organisations.size());
    for (; organisations_ < organisations_end; ++organisations_)
        GODWIT_TRY(table_->index_organisation(organisations_));
    return routes_ == content.routes.size() &&
           organisations_ == content.organisations.size();
}

std::shared_ptr<const route_table> route_table_builder::finish()
{
    return std::move(table_);
}

} // namespace godwit::routing
