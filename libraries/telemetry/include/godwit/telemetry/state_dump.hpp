#pragma once

#include <godwit/core/identifiers.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstddef>
#include <ranges>
#include <string>
#include <string_view>

namespace godwit::telemetry {

/// The response of `/state`: the process, and a section per component.
class state_dump
{
public:
    /// A dump of the incarnation `incarnation` of `program` on `host` in
    /// `zone`.
    state_dump(
        std::string_view program,
        std::string_view version,
        const core::host_name& host,
        const core::zone_name& zone,
        const core::incarnation_id& incarnation);

    /// Adds a section; replaces one with the same name.
    state_dump& add(std::string_view section, boost::json::value content);

    /// Returns the dump as JSON.
    [[nodiscard]] std::string to_string() const;

    /// Returns the first `max_items` of `items`, each converted by `convert`,
    /// as `{"count", "shown", "items"}`. The limit keeps a dump readable.
    template<std::ranges::sized_range Range, class Convert>
    [[nodiscard]] static boost::json::object
    list(const Range& items, Convert convert, std::size_t max_items = 200)
    {
        boost::json::array shown;
        for (const auto& item : items) {
            if (shown.size() == max_items)
                break;
            shown.push_back(boost::json::value(convert(item)));
        }
        return {
            {"count", std::ranges::size(items)},
            {"shown", shown.size()},
            {"items", shown}};
    }

private:
    boost::json::object content_;
};

} // namespace godwit::telemetry
