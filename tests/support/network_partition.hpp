#pragma once

#include <cstdint>
#include <set>

namespace godwit::test {

/// How connection attempts through a partition end.
enum class partition_mode
{
    refuse, ///< At once.
    hang,   ///< Not before the caller gives up.
};

/// Makes connections that this thread opens to these loopback ports fail, until
/// `heal_partition`. Established connections are not affected.
void partition_from(std::set<std::uint16_t> ports, partition_mode mode);

/// Ends the partition of this thread.
void heal_partition();

} // namespace godwit::test
