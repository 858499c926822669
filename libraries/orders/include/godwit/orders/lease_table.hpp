#pragma once

#include <godwit/orders/lease_record.hpp>
#include <godwit/orders/log_record.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace godwit::orders {

/// A lease on a pool as the log has it.
struct lease
{
    lease_holder holder;

    /// The fencing number: one more than the offset of the record that began
    /// the tenure, as engines know 0 before the first order.
    std::uint64_t number = 0;

    /// When it lapses, by the log's clock.
    log_time expires{0};

    friend bool operator==(const lease&, const lease&) = default;
};

/// The orders stream folded in log order: who holds which pool. A lease is
/// taken when there is none or it has lapsed by the record's own time; its
/// holder renews it; a later epoch of the same run takes it over at once
/// with a new number.
class lease_table
{
public:
    /// Takes the next record; the record read, or nothing if it is bad.
    std::optional<lease_record> fold(const log_record& record);

    /// The last lease of `pool`, lapsed or not; nothing if none is known.
    [[nodiscard]] std::optional<lease>
    find(const core::service_name& pool) const;

    /// The newest record's time on the log's clock.
    [[nodiscard]] log_time newest() const noexcept { return newest_; }

    /// Records that could not be read and were skipped.
    [[nodiscard]] std::uint64_t bad_records() const noexcept
    {
        return bad_records_;
    }

private:
    void take(
        const core::service_name& pool,
        const lease_record& wanted,
        const log_record& at);
    void forget_lapsed();

    std::map<core::service_name, lease> leases_;
    log_time newest_{0};
    std::uint64_t bad_records_ = 0;
};

} // namespace godwit::orders
