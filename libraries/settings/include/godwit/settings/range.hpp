#pragma once

#include <compare>

namespace godwit::settings {

/// The values that a setting may take, both ends included.
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
