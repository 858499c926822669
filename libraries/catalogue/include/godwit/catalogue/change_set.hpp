#pragma once

#include <godwit/catalogue/change.hpp>
#include <godwit/core/identifiers.hpp>

#include <vector>

namespace godwit::catalogue {

/// Names one change set of one operator; a repeated publish carries it again.
using change_id = core::identifier<struct change_id_tag>;

/// Changes of one operator that are accepted or refused together.
struct change_set
{
    change_id id;
    core::operator_name published_by;
    std::vector<change> changes;

    friend bool operator==(const change_set&, const change_set&) = default;
};

} // namespace godwit::catalogue
