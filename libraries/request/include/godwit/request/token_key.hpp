#pragma once

#include <string>

namespace godwit::request {

/// A secret of the settings that authenticates resume tokens.
struct token_key
{
    std::string id;     ///< 1 to 16 characters of a-z, A-Z and 0-9.
    std::string secret; ///< At least 32 bytes.

    friend bool operator==(const token_key&, const token_key&) = default;
};

} // namespace godwit::request
