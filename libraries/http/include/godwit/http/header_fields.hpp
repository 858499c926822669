#pragma once

#include <godwit/http/field.hpp>

#include <cstddef>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace godwit::http {

/// The header fields of a message in their order. Names compare without
/// regard to ASCII case (RFC 9110, section 5.1).
class header_fields
{
public:
    header_fields() = default;

    header_fields(std::initializer_list<field> fields) : fields_(fields) {}

    /// Appends a field; others of that name stay.
    void add(std::string name, std::string value);

    /// Replaces every field of that name by one.
    void set(std::string_view name, std::string value);

    /// Removes every field of that name.
    void remove(std::string_view name);

    /// The value of the first field of that name.
    [[nodiscard]] std::optional<std::string_view>
    find(std::string_view name) const noexcept;

    /// How many fields bear that name.
    [[nodiscard]] std::size_t count(std::string_view name) const noexcept;

    [[nodiscard]] bool empty() const noexcept { return fields_.empty(); }

    [[nodiscard]] std::size_t size() const noexcept { return fields_.size(); }

    [[nodiscard]] auto begin() const noexcept { return fields_.begin(); }

    [[nodiscard]] auto end() const noexcept { return fields_.end(); }

    friend bool
    operator==(const header_fields&, const header_fields&) = default;

private:
    std::vector<field> fields_;
};

/// Whether two field names are the same one.
[[nodiscard]] bool
same_field_name(std::string_view left, std::string_view right) noexcept;

} // namespace godwit::http
