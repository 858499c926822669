#include "open_asks.hpp"

#include <utility>

namespace godwit::agent {

std::uint64_t open_asks::add(open_ask ask)
{
    asks_.emplace(next_, std::move(ask));
    return next_++;
}

std::optional<open_ask> open_asks::take(std::uint64_t ask)
{
    const auto found = asks_.find(ask);
    if (found == asks_.end())
        return std::nullopt;
    open_ask taken = std::move(found->second);
    asks_.erase(found);
    return taken;
}

std::optional<std::uint64_t>
open_asks::find(const wire::link& proxy, std::uint64_t number) const
{
    for (const auto& [ask, each] : asks_) {
        if (each.proxy.get() == &proxy && each.number == number)
            return ask;
    }
    return std::nullopt;
}

std::vector<std::uint64_t> open_asks::of(const wire::link& proxy) const
{
    std::vector<std::uint64_t> found;
    for (const auto& [ask, each] : asks_) {
        if (each.proxy.get() == &proxy)
            found.push_back(ask);
    }
    return found;
}

} // namespace godwit::agent
