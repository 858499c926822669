#pragma once

#include <godwit/claims/claim_key.hpp>
#include <godwit/wire/link.hpp>

#include <cstdint>
#include <memory>

namespace godwit::agent {

/// A proxy's question that is not answered yet.
struct open_ask
{
    std::shared_ptr<wire::link> proxy;
    std::uint64_t number = 0; ///< The proxy's own number for it.
    claims::claim_key key;
};

} // namespace godwit::agent
