#pragma once

#include <godwit/core/result.hpp>
#include <godwit/core/time.hpp>
#include <godwit/dispatch/action.hpp>
#include <godwit/dispatch/event.hpp>
#include <godwit/dispatch/scheduler_settings.hpp>
#include <godwit/dispatch/scheduler_state.hpp>

#include <memory>
#include <vector>

namespace godwit::dispatch {

/// Decides when and where the requests of one entry host start.
///
/// A deterministic state machine without I/O: the same events at the same
/// times give the same actions. Not thread-safe. An event about a request
/// that it does not know is ignored, so late and doubled ones do no harm.
class scheduler
{
public:
    /// Fails with `invalid_input` if a setting is out of its range.
    [[nodiscard]] static core::result<scheduler>
    create(scheduler_settings settings);

    scheduler(scheduler&& other) noexcept;
    scheduler& operator=(scheduler&& other) noexcept;
    ~scheduler();

    /// Takes one event and returns what to do, in order. `now` never goes
    /// back from one call to the next.
    [[nodiscard]] std::vector<action>
    handle(const event& input, core::time_point now);

    /// What it holds after the last event.
    [[nodiscard]] scheduler_state state() const;

private:
    class implementation;

    explicit scheduler(std::unique_ptr<implementation> state);

    std::unique_ptr<implementation> implementation_;
};

} // namespace godwit::dispatch
