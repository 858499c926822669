#pragma once

#include <godwit/catalogue/change_set.hpp>

#include <cstdint>

namespace godwit::catalogue {

/// The decision on a change set, kept to recognise its repetition.
struct decided_change
{
    change_id id;
    core::operator_name published_by;
    std::uint64_t offset = 0;
    std::uint64_t content_hash = 0; ///< Of the change set's canonical form.
    bool accepted = false;

    friend bool
    operator==(const decided_change&, const decided_change&) = default;
};

} // namespace godwit::catalogue
