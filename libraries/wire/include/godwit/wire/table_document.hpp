#pragma once

#include <cstdint>
#include <string>

namespace godwit::wire {

/// A version of the route table, in the text that its operator wrote.
struct table_document
{
    std::uint64_t version = 0;
    std::string text;

    friend bool
    operator==(const table_document&, const table_document&) = default;
};

} // namespace godwit::wire
