#include <godwit/claims/claimer_action.hpp>

namespace godwit::claims {

std::string_view to_string(claims_alarm alarm) noexcept
{
    switch (alarm) {
    case claims_alarm::early_trim:
        return "early_trim";
    case claims_alarm::bad_record:
        return "bad_record";
    case claims_alarm::ledger_full:
        return "ledger_full";
    case claims_alarm::log_went_back:
        return "log_went_back";
    }
    return "bad_record";
}

} // namespace godwit::claims
