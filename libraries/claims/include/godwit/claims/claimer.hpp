#pragma once

#include <godwit/claims/claimer_action.hpp>
#include <godwit/claims/claimer_event.hpp>
#include <godwit/claims/claimer_settings.hpp>
#include <godwit/claims/ledger.hpp>
#include <godwit/core/result.hpp>
#include <godwit/core/time.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace godwit::claims {

/// Figures of a claimer since it started, for metrics and the state dump.
struct claimer_counts
{
    std::uint64_t asked = 0;
    std::uint64_t won = 0;
    std::uint64_t held = 0;
    std::uint64_t unavailable = 0;
    std::uint64_t appends = 0;
    std::uint64_t appends_lost = 0;
    std::uint64_t entries_appended = 0;
    std::uint64_t entries_forwarded = 0;
    std::uint64_t releases = 0;

    friend bool
    operator==(const claimer_counts&, const claimer_counts&) = default;
};

/// Decides in an agent who may run requests that may not be repeated. Makes
/// no calls: events in, actions out.
class claimer
{
public:
    /// Fails with `invalid_input` on settings out of range.
    [[nodiscard]] static core::result<claimer>
    create(claimer_settings settings, core::time_point now);

    claimer(claimer&&) noexcept;
    claimer& operator=(claimer&&) noexcept;
    claimer(const claimer&) = delete;
    claimer& operator=(const claimer&) = delete;
    ~claimer();

    /// Takes one event; `now` never goes back.
    [[nodiscard]] std::vector<claimer_action>
    handle(const claimer_event& event, core::time_point now);

    /// When the next `tick` is due.
    [[nodiscard]] core::time_point next_wakeup() const;

    [[nodiscard]] const ledger& claims() const noexcept;

    [[nodiscard]] const claimer_counts& counts() const noexcept;

    /// Whether the log answered last time and the whole stream is read.
    [[nodiscard]] bool ready() const noexcept;

    /// Asks not answered yet.
    [[nodiscard]] std::size_t pending_asks() const noexcept;

private:
    class state;

    explicit claimer(std::unique_ptr<state> decisions);

    std::unique_ptr<state> state_;
};

} // namespace godwit::claims
