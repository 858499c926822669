#pragma once

namespace godwit::capacity {

/// Bytes that this process holds on the heap.
[[nodiscard]] double heap_bytes() noexcept;

} // namespace godwit::capacity
