#pragma once

#include <godwit/catalogue/member.hpp>

#include <vector>

namespace godwit::catalogue {

/// The entry hosts of the host list, this one included.
struct members_changed
{
    std::vector<member> members;

    friend bool
    operator==(const members_changed&, const members_changed&) = default;
};

} // namespace godwit::catalogue
