#include "change_set_codec.hpp"

#include <godwit/catalogue/tombstone_drop.hpp>

#include <boost/json/serialize.hpp>

namespace godwit::catalogue {

std::string serialise_record(const tombstone_drop& drop)
{
    return boost::json::serialize(boost::json::object{
        {record_type_key, tombstone_drop_type},
        {"before_offset", drop.before_offset}});
}

} // namespace godwit::catalogue
