#pragma once

#include <godwit/catalogue/record.hpp>
#include <godwit/catalogue/verdict.hpp>

namespace godwit::ctl {

/// A record of the log, and what became of it.
struct decided_record
{
    catalogue::record source;
    catalogue::verdict decision;

    friend bool
    operator==(const decided_record&, const decided_record&) = default;
};

} // namespace godwit::ctl
