#pragma once

#include <godwit/catalogue/change_set.hpp>
#include <godwit/catalogue/refusal.hpp>
#include <godwit/catalogue/verdict_kind.hpp>

#include <cstdint>
#include <optional>

namespace godwit::catalogue {

/// What became of one record, the same on every host.
struct verdict
{
    verdict_kind kind = verdict_kind::no_change;
    std::uint64_t offset = 0;         ///< Of the record.
    change_id id;                     ///< Empty if it cannot be read.
    core::operator_name published_by; ///< Empty if it cannot be read.
    std::optional<refusal> refused;   ///< For `refused`.
    std::uint64_t first_offset = 0;   ///< For `repeated`: where decided.
    bool first_accepted = false;      ///< For `repeated`: and how.

    friend bool operator==(const verdict&, const verdict&) = default;
};

} // namespace godwit::catalogue
