#pragma once

#include <compare>

namespace godwit::settings {

/// The allowed values of a setting, both ends included.
template<class Value>
struct range
{
    Value lowest;
    Value highest;

    [[nodiscard]] bool contains(const Value& value) const
    {
        return lowest <= value && value <= highest;
    }

    friend bool operator==(const range&, const range&) = default;
    friend auto operator<=>(const range&, const range&) = default;
};

} // namespace godwit::settings
