#pragma once

#include <godwit/catalogue/alarm.hpp>

namespace godwit::catalogue {

/// Tell the operators; raised once until cleared.
struct raise_alarm
{
    alarm raised;

    friend bool operator==(const raise_alarm&, const raise_alarm&) = default;
};

} // namespace godwit::catalogue
