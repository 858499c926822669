#pragma once

#include <godwit/dispatch/cache_changed.hpp>

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace godwit::dispatch {

/// Which prompt prefixes an engine is believed to hold. A gap in its cache
/// events halves the belief in all that was heard before. Bounded: beyond
/// `max_prefixes` the longest unheard one is forgotten.
class prefix_knowledge
{
public:
    static constexpr std::size_t max_prefixes = 2048;

    void take(const cache_changed& input);

    /// Belief that the engine holds the prefix, 0 to 1.
    [[nodiscard]] double confidence(std::uint64_t prefix_hash) const;

private:
    struct entry
    {
        std::uint64_t prefix_hash = 0;
        std::uint64_t gaps_before = 0;
    };

    std::list<entry> recent_;
    std::unordered_map<std::uint64_t, std::list<entry>::iterator> entries_;
    std::uint64_t next_sequence_ = 0;
    std::uint64_t gaps_ = 0;
};

} // namespace godwit::dispatch
