#pragma once

#include <godwit/core/identifier.hpp>

#include <concepts>
#include <string>
#include <string_view>
#include <utility>

namespace godwit::telemetry {

/// One key=value pair of a log line. Keys are literals in snake_case.
class log_field
{
public:
    log_field(std::string_view key, std::string_view value)
        : key_(key), value_(value)
    {}

    log_field(std::string_view key, const char* value)
        : key_(key), value_(value)
    {}

    log_field(std::string_view key, const std::string& value)
        : key_(key), value_(value)
    {}

    log_field(std::string_view key, bool value)
        : key_(key), value_(value ? "true" : "false")
    {}

    template<class Number>

    requires(std::integral<Number> || std::floating_point<Number>)
        log_field(std::string_view key, Number value)
        : key_(key), value_(std::to_string(value))
    {}

    template<class Tag>
    log_field(std::string_view key, const core::identifier<Tag>& value)
        : key_(key), value_(value.value())
    {}

    [[nodiscard]] std::string_view key() const noexcept { return key_; }

    [[nodiscard]] const std::string& value() const noexcept { return value_; }

private:
    std::string_view key_;
    std::string value_;
};

} // namespace godwit::telemetry
