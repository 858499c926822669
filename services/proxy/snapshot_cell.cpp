#include "snapshot_cell.hpp"

#include <utility>

namespace godwit::proxy {

snapshot_cell::snapshot_cell()
    : current_(std::make_shared<const proxy_snapshot>())
{}

std::shared_ptr<const proxy_snapshot> snapshot_cell::get() const
{
    const std::scoped_lock lock(mutex_);
    return current_;
}

void snapshot_cell::set(proxy_snapshot next)
{
    auto made = std::make_shared<const proxy_snapshot>(std::move(next));
    const std::scoped_lock lock(mutex_);
    current_ = std::move(made);
}

} // namespace godwit::proxy
