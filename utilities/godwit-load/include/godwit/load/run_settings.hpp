#pragma once

#include <godwit/core/time.hpp>
#include <godwit/http/endpoint.hpp>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace godwit::load {

/// Whether a caller continues a stream whose connection broke.
enum class reconnection
{
    never,
    with_last_event, ///< At the next entry host, with Last-Event-ID.
};

/// Against what a plan is run, and within which bounds.
struct run_settings
{
    std::vector<http::endpoint> callers; ///< Entry hosts.
    std::vector<std::string> tokens;     ///< Bearer tokens.
    std::string model;
    std::string service;
    std::string long_class;  ///< Of long streams; empty leaves it out.
    std::string short_class; ///< Of short completions; the same.
    reconnection on_break = reconnection::never;
    /// How long after the last arrival answers may still come.
    core::duration patience = std::chrono::seconds(60);
    std::size_t in_flight = 4096; ///< Beyond it a request is not sent.
    std::size_t reconnects = 8;   ///< Of one request.
};

} // namespace godwit::load
