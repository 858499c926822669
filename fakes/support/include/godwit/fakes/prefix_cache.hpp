#pragma once

#include <godwit/core/random.hpp>
#include <godwit/fakes/cache_event.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string_view>
#include <vector>

namespace godwit::fakes {

/// The prompt prefixes that an engine keeps, least recently used out first,
/// and the events about them, some of which get lost.
class prefix_cache
{
public:
    prefix_cache(std::size_t capacity, std::uint64_t seed)
        : capacity_(capacity), draw_(seed)
    {}

    /// The part of a prompt that is cached.
    static constexpr std::size_t prefix_bytes = 256;

    [[nodiscard]] static std::uint64_t prefix_hash(std::string_view prompt);

    /// Stores a prompt's prefix. Returns whether it was there.
    bool use(std::string_view prompt);

    /// The kept events from a number on.
    [[nodiscard]] std::vector<cache_event>
    events_from(std::uint64_t sequence) const;

    [[nodiscard]] std::uint64_t next_sequence() const noexcept
    {
        return next_sequence_;
    }

private:
    void publish(std::uint64_t hash, cache_action action);

    std::size_t capacity_;
    core::random draw_;
    std::list<std::uint64_t> prefixes_; // The most recently used first.
    std::deque<cache_event> events_;
    std::uint64_t next_sequence_ = 0;
};

} // namespace godwit::fakes
