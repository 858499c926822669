#pragma once

#include <godwit/catalogue/record.hpp>
#include <godwit/core/identifiers.hpp>

#include <cstdint>
#include <vector>

namespace godwit::catalogue {

/// Answer the pull of `peer` with records.
struct send_records
{
    core::host_name peer;
    std::vector<record> records;
    std::uint64_t end_hash = 0;

    friend bool operator==(const send_records&, const send_records&) = default;
};

} // namespace godwit::catalogue
