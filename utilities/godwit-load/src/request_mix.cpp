#include <godwit/load/request_mix.hpp>

#include <string>

namespace godwit::load {

core::result<request_mix> request_mix::named(std::string_view name)
{
    // Name histories and spelling checks; some entries into the ledger.
    if (name == "krajevnik")
        return request_mix{0.30, 0.50, 0.10, 60.0, 1.2, 2000.0};
    // Long handover reports, frequent tags, many small confirmations.
    if (name == "predavka")
        return request_mix{0.20, 0.40, 0.30, 150.0, 1.3, 3000.0};
    return core::fail(
        core::error_kind::invalid_input,
        "no mix '" + std::string(name) + "'",
        "choose krajevnik or predavka");
}

} // namespace godwit::load
