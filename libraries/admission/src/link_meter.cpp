#include <godwit/admission/link_meter.hpp>

#include <algorithm>

namespace godwit::admission {

namespace {

// Ethernet, IPv4 and TCP headers with timestamps.
constexpr std::size_t packet_header_bytes = 66;
constexpr std::size_t packet_payload_bytes = 1448;

std::size_t header_bytes(std::size_t bytes)
{
    const std::size_t packets =
        (bytes + packet_payload_bytes - 1) / packet_payload_bytes;
    return std::max<std::size_t>(packets, 1) * packet_header_bytes;
}

} // namespace

link_meter::slot& link_meter::current(core::time_point now)
{
    const std::int64_t number = now.time_since_epoch() / slot_length;
    slot& found = slots_[static_cast<std::size_t>(number) % slots];
    if (found.number != number)
        found = slot{number};
    return found;
}

void link_meter::record_received(std::size_t bytes, core::time_point now)
{
    slot& counted = current(now);
    counted.received += bytes + header_bytes(bytes);
    counted.sent += header_bytes(bytes);
}

void link_meter::record_sent(std::size_t bytes, core::time_point now)
{
    slot& counted = current(now);
    counted.sent += bytes + header_bytes(bytes);
    counted.received += header_bytes(bytes);
}

double link_meter::use(core::time_point now) const
{
    if (capacity_ <= 0)
        return 0;
    const std::int64_t newest = now.time_since_epoch() / slot_length;
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
    for (const slot& each : slots_) {
        if (newest - each.number >= static_cast<std::int64_t>(slots))
            continue;
        received += each.received;
        sent += each.sent;
    }
    const double seconds = std::chrono::duration<double>(window).count();
    return static_cast<double>(std::max(received, sent)) /
           (capacity_ * seconds);
}

} // namespace godwit::admission
