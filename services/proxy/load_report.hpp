#pragma once

#include <godwit/core/result.hpp>
#include <godwit/core/time.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace godwit::proxy {

/// What a backend server answers to `GET /load`.
struct load_report
{
    /// How old the figures were when they were sent.
    core::duration age{};
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t memory_tokens_used = 0;
    std::uint64_t memory_tokens_capacity = 0;
    std::vector<std::string> models;
    std::vector<std::string> adapters;
    std::string version;
    bool leaving = false;

    /// Reads the answer's body. Members may be absent, as a plain service's
    /// memory is; those that are there must have the right type. Fails with
    /// `protocol`.
    static core::result<load_report> parse(std::string_view body);

    friend bool operator==(const load_report&, const load_report&) = default;
};

} // namespace godwit::proxy
