#pragma once

#include <godwit/wire/message.hpp>

#include <vector>

namespace godwit::wire {

/// At least one message of every type, with every field set.
[[nodiscard]] std::vector<message> sample_messages();

} // namespace godwit::wire
