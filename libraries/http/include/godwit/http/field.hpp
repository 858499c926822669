#pragma once

#include <string>

namespace godwit::http {

/// One header field as it stands on the wire.
struct field
{
    std::string name;
    std::string value;

    friend bool operator==(const field&, const field&) = default;
};

} // namespace godwit::http
