#pragma once

#include <godwit/admission/request_fingerprint.hpp>
#include <godwit/admission/work_amount.hpp>
#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

namespace godwit::admission {

/// A refused request whose caller was told when to retry.
struct announced_retry
{
    request_fingerprint request;
    core::service_name service;
    int order = 0; ///< Its place in the queue when it retries.
    std::uint64_t tokens = 0;
    core::time_point due;

    friend bool
    operator==(const announced_retry&, const announced_retry&) = default;
};

/// Refused requests whose callers were told when to retry, at any host of the
/// cell.
class announced_retries
{
public:
    static constexpr std::size_t max_retries = 256;
    /// How long after its due time a retry is still expected.
    static constexpr core::duration grace = std::chrono::seconds(2);
    /// A retry so much before its due time is on time: due times pass between
    /// hosts in whole milliseconds, with the delay of a link.
    static constexpr core::duration tolerance = std::chrono::milliseconds(20);

    /// Adds a retry, or moves it. Returns false if there are too many.
    bool announce(const announced_retry& retry, core::time_point now);

    /// Removes and returns whether `request` is a retry that is due at `now`.
    bool claim(const request_fingerprint& request, core::time_point now);

    /// Returns the work of the retries up to `order` that come after `now`,
    /// until `until`.
    [[nodiscard]] work_amount work_until(
        const core::service_name& service,
        int order,
        core::time_point until,
        core::time_point now) const;

    void expire(core::time_point now);

    [[nodiscard]] std::size_t size() const noexcept { return retries_.size(); }

private:
    std::map<request_fingerprint, announced_retry> retries_;
};

} // namespace godwit::admission
