#include <godwit/admission/crash_report.hpp>

#include <algorithm>

namespace godwit::admission {

core::time_point crash_report::last_crash() const noexcept
{
    core::time_point last = core::time_point::min();
    for (const server_crash& crash : crashes)
        last = std::max(last, crash.at);
    return last;
}

} // namespace godwit::admission
