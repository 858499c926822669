#pragma once

#include <godwit/catalogue/catalogue_alarm.hpp>

namespace godwit::catalogue {

/// Tell the operators; raised once until cleared.
struct raise_alarm
{
    catalogue_alarm raised;

    friend bool operator==(const raise_alarm&, const raise_alarm&) = default;
};

} // namespace godwit::catalogue
