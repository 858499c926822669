#pragma once

#include <godwit/core/identifiers.hpp>

namespace godwit::catalogue {

/// A pull got no answer.
struct pull_failed
{
    core::host_name peer;

    friend bool operator==(const pull_failed&, const pull_failed&) = default;
};

} // namespace godwit::catalogue
