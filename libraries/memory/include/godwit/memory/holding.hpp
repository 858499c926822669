#pragma once

#include <godwit/core/time.hpp>
#include <godwit/memory/amounts.hpp>

#include <cstdint>
#include <string_view>

namespace godwit::memory {

/// What a holder does with what it holds.
enum class activity
{
    idle,      ///< A connection without a request.
    receiving, ///< A request that has not arrived completely.
    serving,   ///< A complete request, or work that was begun for one.
    sending,   ///< A response that its client has not taken yet.
    closing,   ///< A connection that was refused.
};

[[nodiscard]] std::string_view to_string(activity doing) noexcept;

/// What one holder has of a process's resources.
struct holding
{
    std::uint64_t id = 0;
    activity doing = activity::idle;
    /// When its activity began or its client last made progress with it.
    core::time_point since{};
    amounts held;

    friend bool operator==(const holding&, const holding&) = default;
};

} // namespace godwit::memory
