#pragma once

#include <godwit/core/time.hpp>

#include <cstdint>

namespace godwit::admission {

/// How fast the engines of one service read prompts beside the generations
/// that they run, as the first events of this host's own requests show.
///
/// Answers engines of any make: how many unread prompts an engine may have
/// before one more would begin late follows from it.
class reading_pace
{
public:
    /// Before anything was observed: an engine that reads 14 tokens a
    /// millisecond between steps of 7 ms, of which reading takes about half.
    static constexpr double first_guess = 7.0;
    /// Bounds of what is believed, in tokens a millisecond.
    static constexpr double slowest = 0.5;
    static constexpr double fastest = 200.0;

    /// A first event came `took` after its request was sent to an engine that
    /// had `tokens` to read, the request's own included.
    void observed(std::uint64_t tokens, core::duration took);

    /// The estimate, in tokens a millisecond.
    [[nodiscard]] double tokens_per_ms() const noexcept { return pace_; }

    friend bool operator==(const reading_pace&, const reading_pace&) = default;

private:
    double pace_ = first_guess;
};

} // namespace godwit::admission
