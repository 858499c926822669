#pragma once

#include <godwit/catalogue/organisation_limits.hpp>
#include <godwit/core/identifiers.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace godwit::catalogue {

/// An organisation that may send requests.
struct organisation
{
    core::organisation_name name;
    core::operator_name owner;
    std::uint64_t version = 0; ///< 0 until a change set is accepted.
    core::request_class_name default_class;
    /// SHA-256 of each bearer token, 64 lower-case hexadecimal digits.
    std::vector<std::string> token_hashes;
    organisation_limits limits;

    friend bool operator==(const organisation&, const organisation&) = default;
};

} // namespace godwit::catalogue
