#pragma once

namespace godwit::catalogue {

/// The process ran again after a pause, for example a frozen host.
struct resumed
{

    friend bool operator==(const resumed&, const resumed&) = default;
};

} // namespace godwit::catalogue
