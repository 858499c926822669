#include "pretty_json.hpp"

#include <boost/json/serialize.hpp>

namespace godwit::ctl {

namespace {

namespace json = boost::json;

constexpr std::size_t indent_width = 2;

void write(const json::value& value, std::size_t depth, std::string& out);

void start_line(std::size_t depth, std::string& out)
{
    out += "\n" + std::string(depth * indent_width, ' ');
}

void write_object(
    const json::object& object, std::size_t depth, std::string& out)
{
    out += "{";
    bool first = true;
    for (const auto& member : object) {
        out += first ? "" : ",";
        first = false;
        start_line(depth + 1, out);
        out += json::serialize(json::string(member.key())) + ": ";
        write(member.value(), depth + 1, out);
    }
    start_line(depth, out);
    out += "}";
}

void write_array(const json::array& array, std::size_t depth, std::string& out)
{
    out += "[";
    bool first = true;
    for (const json::value& item : array) {
        out += first ? "" : ",";
        first = false;
        start_line(depth + 1, out);
        write(item, depth + 1, out);
    }
    start_line(depth, out);
    out += "]";
}

void write(const json::value& value, std::size_t depth, std::string& out)
{
    const json::object* object = value.if_object();
    const json::array* array = value.if_array();
    if (object != nullptr && !object->empty())
        write_object(*object, depth, out);
    else if (array != nullptr && !array->empty())
        write_array(*array, depth, out);
    else
        out += json::serialize(value);
}

} // namespace

std::string pretty_json(const json::value& value)
{
    std::string out;
    write(value, 0, out);
    return out;
}

} // namespace godwit::ctl
