#pragma once

#include <chrono>

namespace godwit::test {

/// Makes the clocks of the process show that the machine was suspended for so
/// long: those that count a suspension advance, CLOCK_MONOTONIC does not.
void suspend_for(std::chrono::seconds span);

} // namespace godwit::test
