#pragma once

#include <godwit/catalogue/state.hpp>
#include <godwit/core/result.hpp>
#include <godwit/wire/catalogue_change.hpp>
#include <godwit/wire/catalogue_snapshot.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace godwit::proxy {

/// Builds the catalogue from what the agent sends: a snapshot in parts, then
/// one record after the other.
class catalogue_receiver
{
public:
    /// Takes the next part. The catalogue comes with the last one; a part
    /// out of order and a wrong hash fail with `protocol`.
    core::result<std::optional<catalogue::state_pointer>>
    take(const wire::catalogue_snapshot& part);

    /// Takes a record. Nothing comes where the catalogue ends elsewhere; the
    /// sender must be told where. A wrong hash fails with `protocol`.
    core::result<std::optional<catalogue::state_pointer>>
    take(const wire::catalogue_change& change);

    /// A new connection starts from nothing.
    void forget_parts();

private:
    [[nodiscard]] bool continues(const wire::catalogue_snapshot& part) const;

    catalogue::state_pointer current_;
    std::uint64_t snapshot_offset_ = 0;
    std::vector<std::string> parts_;
};

} // namespace godwit::proxy
