#pragma once

#include <godwit/core/result.hpp>
#include <godwit/http/endpoint.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace godwit::load {

/// How often each idempotency key had an effect, over all services.
using effect_counts = std::unordered_map<std::string, std::uint64_t>;

/// The sum of `preemptions` in the engines' `/load`. Fails with what kept
/// one from being read.
[[nodiscard]] core::result<std::uint64_t>
engine_preemptions(const std::vector<http::endpoint>& engines);

/// The sum of `godwit_preemptions_total` in the operators' `/metrics`.
[[nodiscard]] core::result<std::uint64_t>
proxy_preemptions(const std::vector<http::endpoint>& operators);

/// The sum of a counter in a text of the Prometheus exposition format.
[[nodiscard]] double
sum_counter(std::string_view metrics, std::string_view name);

/// The effects that the stand-in services counted.
[[nodiscard]] core::result<effect_counts>
service_effects(const std::vector<http::endpoint>& services);

} // namespace godwit::load
