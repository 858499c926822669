#pragma once

#include <godwit/catalogue/state.hpp>
#include <godwit/dispatch/policy.hpp>
#include <godwit/membership/service_requirement.hpp>

#include <vector>

namespace godwit::proxy {

/// What the catalogue says to dispatch. Limits of organisations hold over
/// all entry hosts together, so this one gets the share of one in
/// `entry_hosts`.
[[nodiscard]] dispatch::policy
dispatch_policy(const catalogue::state& from, std::uint32_t entry_hosts);

/// What the catalogue says to membership.
[[nodiscard]] std::vector<membership::service_requirement>
service_requirements(const catalogue::state& from);

} // namespace godwit::proxy
