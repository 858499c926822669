#include <godwit/telemetry/state_dump.hpp>

#include <boost/json/serialize.hpp>

#include <utility>

namespace godwit::telemetry {

state_dump::state_dump(
    std::string_view program,
    std::string_view version,
    const core::host_name& host,
    const core::zone_name& zone,
    const core::incarnation_id& incarnation)
    : content_(
          {{"program", program},
           {"version", version},
           {"host", host.value()},
           {"zone", zone.value()},
           {"incarnation", incarnation.value()}})
{}

state_dump&
state_dump::add(std::string_view section, boost::json::value content)
{
    content_[section] = std::move(content);
    return *this;
}

std::string state_dump::to_string() const
{
    return boost::json::serialize(content_);
}

} // namespace godwit::telemetry
