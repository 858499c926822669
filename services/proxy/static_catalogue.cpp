#include "static_catalogue.hpp"

#include <godwit/catalogue/codec.hpp>
#include <godwit/catalogue/fold.hpp>
#include <godwit/catalogue/record.hpp>

namespace godwit::proxy {

core::result<catalogue::state_pointer>
static_catalogue(const catalogue::change_set& changes)
{
    catalogue::record record;
    record.data = GODWIT_TRY(catalogue::serialise_record(changes));
    auto folded = catalogue::fold(catalogue::state::empty(), record);
    if (folded.decision.kind == catalogue::verdict_kind::accepted)
        return folded.next;
    const bool has_reason = folded.decision.refused.has_value();
    return core::fail(
        core::error_kind::invalid_input,
        "static.catalogue: " +
            (has_reason ? folded.decision.refused->detail.message()
                        : std::string("the change set is not accepted")),
        has_reason ? folded.decision.refused->detail.remedy()
                   : std::string("check it with godwitctl check"));
}

} // namespace godwit::proxy
