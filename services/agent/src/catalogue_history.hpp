#pragma once

#include <godwit/catalogue/record.hpp>
#include <godwit/catalogue/record_window.hpp>
#include <godwit/catalogue/state.hpp>
#include <godwit/wire/catalogue_change.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace godwit::agent {

/// The newest records that were folded, so that a proxy that is a little
/// behind gets changes and no snapshot. Bounded by its window.
class catalogue_history
{
public:
    /// `records` were offered and led from the offset `before` to `content`;
    /// those that it does not contain are left out.
    void
    add(const std::vector<catalogue::record>& records,
        std::uint64_t before,
        const catalogue::state& content);

    /// The changes that lead from the offset `from` to `to`, or nothing when
    /// they are not all kept.
    [[nodiscard]] std::optional<std::vector<wire::catalogue_change>>
    between(std::uint64_t from, std::uint64_t to) const;

private:
    // Of a batch, only the state after its last record is known.
    static constexpr std::uint64_t hash_not_known = 0;

    catalogue::record_window window_;
};

} // namespace godwit::agent
