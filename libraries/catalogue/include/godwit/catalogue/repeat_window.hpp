#pragma once

#include <godwit/catalogue/decided_change.hpp>
#include <godwit/catalogue/limits.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

namespace godwit::catalogue {

/// The decisions of the last `repeat_window_records` records, immutable.
/// Which decisions are kept depends on the log's offsets alone, so that a
/// host restored from a checkpoint keeps the same ones.
class repeat_window
{
public:
    /// The decision on `id` of `published_by`, or null.
    [[nodiscard]] const decided_change*
    find(const change_id& id, const core::operator_name& published_by) const;

    /// A copy with `decision`, which must not be older than the others.
    [[nodiscard]] repeat_window with(decided_change decision) const;

    /// A copy without what has left the window when `next_offset` is the
    /// next record.
    [[nodiscard]] repeat_window advanced_to(std::uint64_t next_offset) const;

    /// An order-independent hash of the decisions.
    [[nodiscard]] std::uint64_t hash() const noexcept { return hash_; }

    /// Every decision, oldest first.
    [[nodiscard]] std::vector<decided_change> decisions() const;

private:
    static constexpr std::uint64_t chunk_records = 64;
    static constexpr std::size_t chunk_count =
        repeat_window_records / chunk_records;

    struct chunk
    {
        std::uint64_t number = 0; ///< Offset divided by chunk_records.
        std::uint64_t hash = 0;
        std::vector<std::uint64_t> id_hashes;
        std::vector<decided_change> decisions;
    };

    using ring = std::vector<std::shared_ptr<const chunk>>;

    std::shared_ptr<const ring> ring_ = std::make_shared<const ring>();
    std::uint64_t hash_ = 0;
};

} // namespace godwit::catalogue
