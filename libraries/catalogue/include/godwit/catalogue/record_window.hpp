#pragma once

#include <godwit/catalogue/record.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace godwit::catalogue {

/// The newest records of the log with the hash after each, for peers that
/// are a little behind. Above 4,096 records or 4 MiB the oldest go.
class record_window
{
public:
    /// Adds the record that follows the newest one; any other starts anew.
    void push(const record& added, std::uint64_t hash_after);

    void clear();

    /// The hash of the state with this `next_offset`, if it is kept.
    [[nodiscard]] std::optional<std::uint64_t>
    hash_at(std::uint64_t next_offset) const;

    /// Records from `from` on, bounded in number and size; none if `from`
    /// is not kept.
    [[nodiscard]] std::vector<record> read(std::uint64_t from) const;

private:
    struct item
    {
        record kept;
        std::uint64_t hash_after = 0;
    };

    std::deque<item> items_;
    std::size_t bytes_ = 0;
};

} // namespace godwit::catalogue
