#include <godwit/fakes/effect_ledger.hpp>

namespace godwit::fakes {

std::uint64_t
effect_ledger::note(const std::string& key, const std::string& request_id)
{
    ++total_;
    if (!key.empty())
        first_.try_emplace(key, total_);
    count(by_key_, key_order_, key);
    count(by_request_, request_order_, request_id);
    return total_;
}

std::optional<std::uint64_t>
effect_ledger::first_effect(const std::string& key) const
{
    const auto found = first_.find(key);
    if (found == first_.end())
        return std::nullopt;
    return found->second;
}

void effect_ledger::count(
    counts& table, std::deque<std::string>& order, const std::string& name)
{
    if (name.empty())
        return;
    if (table[name]++ > 0)
        return;
    order.push_back(name);
    if (order.size() <= capacity_)
        return;
    table.erase(order.front());
    if (&table == &by_key_)
        first_.erase(order.front());
    order.pop_front();
}

} // namespace godwit::fakes
