#pragma once

#include <godwit/core/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace godwit::fakes {

/// The faults that a stand-in was told to commit. A switch is off, on
/// (true), or a number: of milliseconds, of tokens, or of times.
class fault_switches
{
public:
    /// The names that the stand-in knows; all are off.
    explicit fault_switches(const std::vector<std::string>& names);

    /// Sets switches from a JSON object. Fails with `invalid_input` and
    /// changes nothing when a name or a value is not known.
    [[nodiscard]] core::result<void> set(std::string_view json);

    /// The value: 0 when off, 1 when merely on.
    [[nodiscard]] std::uint64_t value(std::string_view name) const;

    [[nodiscard]] bool is_on(std::string_view name) const
    {
        return value(name) > 0;
    }

    /// Whether to commit the fault this time; a number counts down, true
    /// stays.
    [[nodiscard]] bool take(std::string_view name);

    void turn_off(std::string_view name);

    /// All switches as a JSON object.
    [[nodiscard]] std::string to_json() const;

private:
    struct fault_switch
    {
        std::string name;
        std::uint64_t number = 0;
        bool stays = false;
    };

    [[nodiscard]] fault_switch& find(std::string_view name);

    std::vector<fault_switch> switches_;
};

} // namespace godwit::fakes
