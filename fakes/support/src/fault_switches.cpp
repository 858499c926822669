#include <godwit/fakes/fault_switches.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <cassert>

namespace godwit::fakes {

namespace {

tl::unexpected<core::error> refused(std::string message)
{
    return core::fail(
        core::error_kind::invalid_input,
        std::move(message),
        "GET /faults shows the switches; a value is a bool or a number");
}

} // namespace

fault_switches::fault_switches(const std::vector<std::string>& names)
{
    for (const std::string& name : names)
        switches_.push_back(fault_switch{name, 0, false});
}

core::result<void> fault_switches::set(std::string_view json)
{
    boost::system::error_code failure;
    const boost::json::value parsed = boost::json::parse(json, failure);
    if (failure || !parsed.is_object())
        return refused("the body is not a JSON object");
    std::vector<fault_switch> changed = switches_;
    for (const auto& [name, value] : parsed.get_object()) {
        const auto found = std::find_if(
            changed.begin(),
            changed.end(),
            [key = std::string_view(name)](const fault_switch& candidate) {
                return candidate.name == key;
            });
        if (found == changed.end())
            return refused("no fault '" + std::string(name) + "'");
        if (value.is_bool()) {
            found->stays = value.get_bool();
            found->number = value.get_bool() ? 1 : 0;
        } else if (value.is_int64() && value.get_int64() >= 0) {
            found->stays = false;
            found->number = static_cast<std::uint64_t>(value.get_int64());
        } else {
            return refused("bad value of '" + std::string(name) + "'");
        }
    }
    switches_ = std::move(changed);
    return {};
}

std::uint64_t fault_switches::value(std::string_view name) const
{
    for (const fault_switch& candidate : switches_) {
        if (candidate.name == name)
            return candidate.number;
    }
    assert(false);
    return 0;
}

bool fault_switches::take(std::string_view name)
{
    fault_switch& taken = find(name);
    if (taken.number == 0)
        return false;
    if (!taken.stays)
        --taken.number;
    return true;
}

void fault_switches::turn_off(std::string_view name)
{
    fault_switch& changed = find(name);
    changed.number = 0;
    changed.stays = false;
}

std::string fault_switches::to_json() const
{
    boost::json::object all;
    for (const fault_switch& one : switches_) {
        if (one.stays)
            all[one.name] = true;
        else
            all[one.name] = one.number;
    }
    return boost::json::serialize(all);
}

fault_switches::fault_switch& fault_switches::find(std::string_view name)
{
    const auto found = std::find_if(
        switches_.begin(),
        switches_.end(),
        [name](const fault_switch& candidate) {
            return candidate.name == name;
        });
    assert(found != switches_.end());
    return *found;
}

} // namespace godwit::fakes
