#include "run_names.hpp"

#include <string>

namespace godwit::bench {

core::server_address address_of(std::size_t server)
{
    return core::server_address("10.0.0." + std::to_string(server) + ":80");
}

std::size_t number_of(const core::server_address& address)
{
    constexpr std::size_t prefix_length = 7;
    return std::stoul(address.value().substr(prefix_length));
}

core::zone_name zone_name_of(std::size_t zone)
{
    return core::zone_name("zone-" + std::to_string(zone));
}

std::size_t number_of(const core::request_id& id)
{
    return std::stoul(id.value());
}

core::request_id id_of(const simulated_request& request)
{
    return core::request_id(std::to_string(request.index));
}

const core::service_name& model_service_name()
{
    static const core::service_name name("model");
    return name;
}

const core::service_name& plain_service_name()
{
    static const core::service_name name("plain");
    return name;
}

} // namespace godwit::bench
