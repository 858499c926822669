#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace godwit::http {

/// The path of a request's target, without its query.
[[nodiscard]] std::string_view path_of(std::string_view target) noexcept;

/// The segments of the path with their percent signs decoded; "/a/b%20c"
/// gives "a" and "b c". A malformed escape stays as it is.
[[nodiscard]] std::vector<std::string> path_segments(std::string_view target);

/// The decoded value of the first query parameter of that name.
[[nodiscard]] std::optional<std::string>
query_parameter(std::string_view target, std::string_view name);

} // namespace godwit::http
