#pragma once

#include "static_server.hpp"

#include <godwit/catalogue/change_set.hpp>

#include <optional>
#include <vector>

namespace godwit::proxy {

/// A catalogue and backend servers from the settings; both may be absent.
struct static_settings
{
    std::optional<catalogue::change_set> catalogue;
    std::vector<static_server> servers;

    friend bool
    operator==(const static_settings&, const static_settings&) = default;
};

} // namespace godwit::proxy
