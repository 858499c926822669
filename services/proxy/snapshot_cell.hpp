#pragma once

#include "proxy_snapshot.hpp"

#include <memory>
#include <mutex>

namespace godwit::proxy {

/// Passes snapshots from the control thread to the others. The lock covers
/// the copy of one pointer.
class snapshot_cell
{
public:
    snapshot_cell();

    /// The newest snapshot; never null.
    [[nodiscard]] std::shared_ptr<const proxy_snapshot> get() const;

    /// Replaces it.
    void set(proxy_snapshot next);

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const proxy_snapshot> current_;
};

} // namespace godwit::proxy
