#pragma once

#include <godwit/wire/claim_holder.hpp>

#include <string>

namespace godwit::wire {

/// The proxy does not run the request and will not; another may claim it.
struct claim_release
{
    std::string key;
    claim_holder holder;

    friend bool
    operator==(const claim_release&, const claim_release&) = default;
};

} // namespace godwit::wire
