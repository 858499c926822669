#pragma once

#include <godwit/queueing/organisation_work.hpp>
#include <godwit/queueing/waiting_request.hpp>

#include <cstddef>
#include <vector>

namespace godwit::queueing {

/// What a host reports to its cell.
struct queue_report
{
    static constexpr std::size_t max_heads_per_service = 4;
    static constexpr std::size_t max_services = 16;
    static constexpr std::size_t max_organisations = 64;

    std::vector<waiting_request> heads;  ///< The most urgent ones.
    std::vector<organisation_work> used; ///< Most work first.

    friend bool operator==(const queue_report&, const queue_report&) = default;
};

} // namespace godwit::queueing
