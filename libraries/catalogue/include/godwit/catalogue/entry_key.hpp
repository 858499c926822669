#pragma once

#include <godwit/catalogue/entry_kind.hpp>
#include <godwit/core/result.hpp>

#include <string>
#include <string_view>
#include <tuple>

namespace godwit::catalogue {

/// Names one entry, written "KIND/NAME", for example "service/gazetteer".
struct entry_key
{
    entry_kind kind = entry_kind::organisation;
    std::string name;

    /// Reads "KIND/NAME"; `invalid_input` if the kind or the name is wrong.
    [[nodiscard]] static core::result<entry_key> parse(std::string_view text);

    [[nodiscard]] std::string to_string() const;

    friend bool operator==(const entry_key&, const entry_key&) = default;

    friend bool operator<(const entry_key& left, const entry_key& right)
    {
        return std::tie(left.kind, left.name) <
               std::tie(right.kind, right.name);
    }
};

} // namespace godwit::catalogue
