#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace godwit::catalogue {

/// Send a digest to each of `peers`; nothing comes of a lost one.
struct send_digest
{
    std::vector<core::host_name> peers;
    std::uint64_t next_offset = 0;
    std::uint64_t hash = 0;
    std::optional<core::duration> age;

    friend bool operator==(const send_digest&, const send_digest&) = default;
};

} // namespace godwit::catalogue
