#include "heap_size.hpp"

#include <malloc.h>

namespace godwit::capacity {

double heap_bytes() noexcept
{
    const auto info = ::mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

} // namespace godwit::capacity
