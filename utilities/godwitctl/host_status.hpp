#pragma once

#include <godwit/core/result.hpp>
#include <godwit/http/endpoint.hpp>

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace godwit::ctl {

/// What one process says of its catalogue.
struct host_status
{
    std::string host;
    std::string zone;
    std::string program;
    /// Every record below it is in force; none if there is no catalogue.
    std::optional<std::uint64_t> in_force;
    std::string hash;
    std::optional<std::uint64_t> age_ms;
    std::string source;
    std::string alarms; ///< Their messages in one line.

    /// Asks `server` for its state dump.
    [[nodiscard]] static core::result<host_status>
    ask(const http::endpoint& server);

    [[nodiscard]] boost::json::object to_json() const;

    friend bool operator==(const host_status&, const host_status&) = default;
};

} // namespace godwit::ctl
