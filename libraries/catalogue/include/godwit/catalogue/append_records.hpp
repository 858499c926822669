#pragma once

#include <string>
#include <vector>

namespace godwit::catalogue {

/// Append these to the catalogue stream in this order. A failed or lost
/// append needs no answer: what is missing from the log is given again.
struct append_records
{
    std::vector<std::string> records;

    friend bool
    operator==(const append_records&, const append_records&) = default;
};

} // namespace godwit::catalogue
