#pragma once

#include <godwit/load/request_outcome.hpp>

#include <string>
#include <string_view>

namespace godwit::load {

/// What a problem document says (RFC 9457, with the members of
/// docs/PROTOCOLS.md).
struct problem_report
{
    request_outcome outcome = request_outcome::rejected;
    std::string reason;

    /// Reads the document; one that cannot be read is `rejected`.
    [[nodiscard]] static problem_report read(std::string_view json);

    friend bool
    operator==(const problem_report&, const problem_report&) = default;
};

} // namespace godwit::load
