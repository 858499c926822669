#include "report.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <iostream>

namespace godwit::capacity {

void report_point(std::string_view sweep, std::size_t size, double value)
{
    const boost::json::object point{
        {"sweep", sweep}, {"x", size}, {"y", value}};
    std::cout << boost::json::serialize(point) << std::endl;
}

} // namespace godwit::capacity
