#pragma once

#include <godwit/core/result.hpp>
#include <godwit/http/endpoint.hpp>

#include <chrono>
#include <cstdint>
#include <vector>

namespace godwit::ctl {

/// Returns when every process of `servers` has the record at `offset` in
/// force. Fails with `timeout` at `deadline`, naming those that have not.
[[nodiscard]] core::result<void> wait_in_force(
    const std::vector<http::endpoint>& servers,
    std::uint64_t offset,
    std::chrono::steady_clock::time_point deadline);

} // namespace godwit::ctl
