#pragma once

#include <godwit/catalogue/alarm_kind.hpp>

#include <cstdint>
#include <string>

namespace godwit::catalogue {

/// A condition that needs an operator.
struct catalogue_alarm
{
    alarm_kind kind = alarm_kind::two_contents;
    /// Where in the log it was seen.
    std::uint64_t offset = 0;
    /// What is wrong and what to do, for people.
    std::string message;

    friend bool
    operator==(const catalogue_alarm&, const catalogue_alarm&) = default;
};

} // namespace godwit::catalogue
