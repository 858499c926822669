#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/result.hpp>
#include <godwit/request/decision_record.hpp>
#include <godwit/request/explain_ring.hpp>

#include <cstddef>
#include <memory>
#include <mutex>
#include <vector>

namespace godwit::proxy {

/// The ring of decisions, shared by all threads.
class explain_log
{
public:
    /// Fails with `invalid_input` on a capacity of zero.
    static core::result<std::unique_ptr<explain_log>>
    create(std::size_t capacity);

    /// Keeps a record, over the oldest one where the ring is full.
    void add(request::decision_record record);

    /// The kept records of one request, oldest first.
    [[nodiscard]] std::vector<request::decision_record>
    story_of(const core::request_id& request) const;

private:
    explicit explain_log(request::explain_ring ring);

    mutable std::mutex mutex_;
    request::explain_ring ring_;
};

} // namespace godwit::proxy
