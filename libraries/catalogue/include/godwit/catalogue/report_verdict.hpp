#pragma once

#include <godwit/catalogue/verdict.hpp>

namespace godwit::catalogue {

/// Log what became of a record.
struct report_verdict
{
    verdict decision;

    friend bool
    operator==(const report_verdict&, const report_verdict&) = default;
};

} // namespace godwit::catalogue
