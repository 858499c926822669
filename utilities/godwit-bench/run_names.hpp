#pragma once

#include "simulated_request.hpp"

#include <godwit/core/identifiers.hpp>

#include <cstddef>

namespace godwit::bench {

/// The names that policies are given for what a run numbers.
[[nodiscard]] core::server_address address_of(std::size_t server);
[[nodiscard]] std::size_t number_of(const core::server_address& address);
[[nodiscard]] core::zone_name zone_name_of(std::size_t zone);
[[nodiscard]] std::size_t number_of(const core::request_id& id);
[[nodiscard]] core::request_id id_of(const simulated_request& request);

[[nodiscard]] const core::service_name& model_service_name();
[[nodiscard]] const core::service_name& plain_service_name();

} // namespace godwit::bench
