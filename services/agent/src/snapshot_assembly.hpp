#pragma once

#include <godwit/core/result.hpp>
#include <godwit/wire/catalogue_snapshot.hpp>

#include <optional>
#include <string>
#include <vector>

namespace godwit::agent {

/// The records of one snapshot as they come over a link.
class snapshot_assembly
{
public:
    /// Takes the next part. The whole snapshot's records, with its last part;
    /// fails with `protocol` on a part that is not the next one of the same
    /// snapshot, and starts anew.
    [[nodiscard]] core::result<std::optional<std::vector<std::string>>>
    take(wire::catalogue_snapshot part);

private:
    wire::catalogue_snapshot head_;
    std::vector<std::string> contents_;
};

} // namespace godwit::agent
