#pragma once

namespace godwit::catalogue {

/// A read of the log failed or got no answer in time.
struct log_unavailable
{

    friend bool
    operator==(const log_unavailable&, const log_unavailable&) = default;
};

} // namespace godwit::catalogue
