#pragma once

#include <godwit/core/time.hpp>
#include <godwit/wire/server_sign.hpp>

#include <deque>
#include <map>
#include <utility>

namespace godwit::agent {

/// Decides which signs about backend servers are passed on: each once in a
/// while, so that a flood over the neighbours' links ends by itself.
class sign_relay
{
public:
    /// Signs remembered at one time; above it the oldest are forgotten, which
    /// costs only a repeated message.
    static constexpr std::size_t remembered_limit = 4096;

    /// The same sign is not passed on again for this long.
    static constexpr core::duration quiet_time = std::chrono::seconds(5);

    /// An older sign says nothing of the present and is dropped.
    static constexpr core::duration oldest_sign = std::chrono::seconds(10);

    /// Whether `sign` is news to this host's proxies and neighbours.
    [[nodiscard]] bool
    is_news(const wire::server_sign& sign, core::time_point now);

private:
    using key = std::pair<core::server_address, wire::sign_kind>;

    void forget_old(core::time_point now);

    std::map<key, core::time_point> passed_;
    std::deque<std::pair<core::time_point, key>> by_age_;
};

} // namespace godwit::agent
