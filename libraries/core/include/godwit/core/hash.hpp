#pragma once

#include <cstdint>
#include <string_view>

namespace godwit::core {

/// Returns a 64-bit hash that is the same on every host and in every release
/// (FNV-1a with the splitmix64 finaliser). Not cryptographic.
[[nodiscard]] std::uint64_t
stable_hash(std::string_view bytes, std::uint64_t seed = 0) noexcept;

/// Returns the weight of `node` for `key` in rendezvous hashing (Thaler and
/// Ravishankar 1998): the node with the highest weight owns the key.
[[nodiscard]] std::uint64_t
rendezvous_weight(std::string_view key, std::string_view node) noexcept;

} // namespace godwit::core
