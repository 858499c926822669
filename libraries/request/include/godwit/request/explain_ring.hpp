#pragma once

#include <godwit/core/result.hpp>
#include <godwit/request/decision_record.hpp>

#include <cstddef>
#include <vector>

namespace godwit::request {

/// The latest decision records of a process. At its bound the oldest record
/// is overwritten.
class explain_ring
{
public:
    /// Refuses a capacity of zero.
    [[nodiscard]] static core::result<explain_ring>
    create(std::size_t capacity);

    /// Adds a record, over the oldest one where the ring is full.
    void add(decision_record record);

    /// The kept records of one request, oldest first.
    [[nodiscard]] std::vector<decision_record>
    story_of(const core::request_id& request) const;

    /// The number of records kept.
    [[nodiscard]] std::size_t size() const noexcept { return records_.size(); }

    [[nodiscard]] std::size_t capacity() const noexcept { return capacity_; }

private:
    explicit explain_ring(std::size_t capacity);

    std::size_t capacity_;
    std::size_t next_ = 0;
    std::vector<decision_record> records_;
};

} // namespace godwit::request
