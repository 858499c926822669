#pragma once

#include <godwit/catalogue/alarm_kind.hpp>

namespace godwit::catalogue {

/// The condition of an alarm is over.
struct clear_alarm
{
    alarm_kind kind = alarm_kind::two_contents;

    friend bool operator==(const clear_alarm&, const clear_alarm&) = default;
};

} // namespace godwit::catalogue
