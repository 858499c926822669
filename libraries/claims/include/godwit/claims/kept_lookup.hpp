#pragma once

#include <godwit/claims/kept_answer.hpp>
#include <godwit/core/identifiers.hpp>

#include <memory>
#include <variant>

namespace godwit::claims {

/// The request runs here: attach to it.
struct run_attach
{
    core::request_id run;

    friend bool operator==(const run_attach&, const run_attach&) = default;
};

/// The request ran here, and this was its answer.
struct run_kept
{
    std::shared_ptr<const kept_answer> answer;

    friend bool operator==(const run_kept&, const run_kept&) = default;
};

/// No run began here under this claim. A proxy with an open ask or a start
/// under way for the key says so and is asked again in a moment; one without
/// sends `release_asked` for that claim, because its agent may have lost the
/// claim's answer or the first release in a restart.
struct run_not_started
{
    friend bool
    operator==(const run_not_started&, const run_not_started&) = default;
};

/// The run began here and its answer is no longer kept: the caller is told
/// `unknown`, or `finished` where the log says so.
struct run_evicted
{
    friend bool operator==(const run_evicted&, const run_evicted&) = default;
};

/// The key runs or ran here for a request with another fingerprint.
struct run_key_reused
{
    friend bool
    operator==(const run_key_reused&, const run_key_reused&) = default;
};

/// What a proxy knows of a claimed run, for its own and its peers' callers.
using kept_lookup = std::
    variant<run_attach, run_kept, run_not_started, run_evicted, run_key_reused>;

} // namespace godwit::claims
