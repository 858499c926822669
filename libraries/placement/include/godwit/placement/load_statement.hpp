#pragma once

#include <godwit/core/result.hpp>

#include <cstdint>

namespace godwit::placement {

/// The load that a backend server states in a response.
class load_statement
{
public:
    /// The slowdown of a machine on which work takes as long as usual.
    static constexpr std::uint32_t usual_percent = 100;
    /// The slowdown from which a server counts as stated as slow.
    static constexpr std::uint32_t slow_percent = 150;
    /// Larger numbers of requests and slots are invalid.
    static constexpr std::uint32_t max_requests = 100'000;
    /// Larger slowdowns are invalid.
    static constexpr std::uint32_t max_percent = 10'000;

    /// Fails with `protocol` if a figure is out of range: there is at least one
    /// slot, and the slowdown is not 0.
    [[nodiscard]] static core::result<load_statement> create(
        std::uint64_t running,
        std::uint64_t waiting,
        std::uint64_t slots,
        std::uint64_t slowdown_percent);

    [[nodiscard]] std::uint32_t running() const noexcept { return running_; }

    [[nodiscard]] std::uint32_t waiting() const noexcept { return waiting_; }

    [[nodiscard]] std::uint32_t slots() const noexcept { return slots_; }

    /// How long work takes on the server's machine, in percent of the usual.
    [[nodiscard]] std::uint32_t slowdown_percent() const noexcept
    {
        return slowdown_percent_;
    }

    /// The same as a factor.
    [[nodiscard]] double slowdown() const noexcept;

    /// The number of running and waiting requests.
    [[nodiscard]] std::uint32_t requests() const noexcept;

    [[nodiscard]] bool is_slow() const noexcept
    {
        return slowdown_percent_ >= slow_percent;
    }

    friend bool
    operator==(const load_statement&, const load_statement&) = default;

private:
    load_statement(
        std::uint32_t running,
        std::uint32_t waiting,
        std::uint32_t slots,
        std::uint32_t slowdown_percent) noexcept;

    std::uint32_t running_;
    std::uint32_t waiting_;
    std::uint32_t slots_;
    std::uint32_t slowdown_percent_;
};

/// Whether the statements differ by so much that they may change the choice of
/// a server.
[[nodiscard]] bool differ_significantly(
    const load_statement& left, const load_statement& right) noexcept;

} // namespace godwit::placement
