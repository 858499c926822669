#include <godwit/entry/find_route.hpp>

#include <string_view>

namespace godwit::entry {

const routing::route*
find_route(const routing::route_table& routes, const http::request& received)
{
    const std::string_view target = received.target;
    return routes.find_route(
        received.fields.find("Host").value_or(""),
        target.substr(0, target.find('?')));
}

} // namespace godwit::entry
