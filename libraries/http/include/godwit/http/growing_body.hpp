#pragma once

#include <cstddef>
#include <string>

namespace godwit::http {

/// Returns the capacity that a body of `capacity` bytes needs to hold `bytes`,
/// with room to grow. It is at most half more than that, or a small block.
[[nodiscard]] std::size_t
grown_capacity(std::size_t capacity, std::size_t bytes) noexcept;

/// Gives `body` a larger capacity. Unlike `reserve`, it does not double it.
void grow_to(std::string& body, std::size_t capacity);

} // namespace godwit::http
