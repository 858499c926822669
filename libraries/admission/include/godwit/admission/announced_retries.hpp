#pragma once

#include <godwit/admission/request_fingerprint.hpp>
#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <chrono>
#include <cstddef>
#include <map>

namespace godwit::admission {

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
    bool announce(
        const request_fingerprint& request,
        const core::service_name& service,
        core::time_point due,
        core::time_point now);

    /// Removes and returns whether `request` is a retry that is due at `now`.
    bool claim(const request_fingerprint& request, core::time_point now);

    /// Returns the number of retries that come after `now`, until `until`.
    [[nodiscard]] std::size_t count_until(
        const core::service_name& service,
        core::time_point until,
        core::time_point now) const;

    void expire(core::time_point now);

    [[nodiscard]] std::size_t size() const noexcept { return retries_.size(); }

private:
    struct retry
    {
        core::service_name service;
        core::time_point due;
    };

    std::map<request_fingerprint, retry> retries_;
};

} // namespace godwit::admission
