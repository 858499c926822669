#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace godwit::core {

/// A strongly typed string: identifiers with different tags do not convert into
/// each other.
template<class Tag>
class identifier
{
public:
    identifier() = default;

    explicit identifier(std::string value) : value_(std::move(value)) {}

    [[nodiscard]] const std::string& value() const noexcept { return value_; }

    [[nodiscard]] bool empty() const noexcept { return value_.empty(); }

    friend bool operator==(const identifier&, const identifier&) = default;
    // clang-tidy 14 takes the comparison with 0 inside a defaulted <=> for a
    // null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const identifier&, const identifier&) = default;

    friend std::ostream& operator<<(std::ostream& out, const identifier& id)
    {
        return out << id.value_;
    }

private:
    std::string value_;
};

} // namespace godwit::core

template<class Tag>
struct std::hash<godwit::core::identifier<Tag>>
{
    std::size_t
    operator()(const godwit::core::identifier<Tag>& id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};
