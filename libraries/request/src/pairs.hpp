#pragma once

#include <godwit/core/identifier.hpp>
#include <godwit/core/time.hpp>

#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace godwit::request {

/// Builds one line: a name and key=value pairs.
class pairs
{
public:
    explicit pairs(std::string_view name) : line_(name) {}

    pairs& add(std::string_view key, std::string_view value)
    {
        line_.append(" ").append(key).append("=").append(value);
        return *this;
    }

    template<std::integral Number>
    pairs& add(std::string_view key, Number value)
    {
        return add(key, std::string_view(std::to_string(value)));
    }

    template<class Tag>
    pairs& add(std::string_view key, const core::identifier<Tag>& value)
    {
        return add(key, std::string_view(value.value()));
    }

    pairs& add(std::string_view key, core::time_point value)
    {
        return add(key, value.time_since_epoch());
    }

    pairs& add(std::string_view key, core::duration value)
    {
        return add(key, std::string_view(std::to_string(value.count()) + "us"));
    }

    /// Nothing is added where there is no value.
    template<class Value>
    pairs& add(std::string_view key, const std::optional<Value>& value)
    {
        if (!value)
            return *this;
        return add(key, *value);
    }

    std::string take() { return std::move(line_); }

private:
    std::string line_;
};

} // namespace godwit::request
