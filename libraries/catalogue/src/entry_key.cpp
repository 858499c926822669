#include "text_rules.hpp"

#include <godwit/catalogue/entry_key.hpp>

#include <array>

namespace godwit::catalogue {

core::result<entry_key> entry_key::parse(std::string_view text)
{
    constexpr std::array kinds{
        entry_kind::organisation,
        entry_kind::service,
        entry_kind::request_class};
    const std::size_t slash = text.find('/');
    if (slash != std::string_view::npos) {
        const std::string_view name = text.substr(slash + 1);
        for (const entry_kind kind : kinds) {
            if (text.substr(0, slash) != catalogue::to_string(kind))
                continue;
            if (is_valid_name(name))
                return entry_key{kind, std::string(name)};
        }
    }
    return core::fail(
        core::error_kind::invalid_input,
        "'" + std::string(text) + "' does not name an entry",
        "write organisation/NAME, service/NAME or class/NAME; a name has "
        "letters, digits and . _ - @");
}

std::string entry_key::to_string() const
{
    return std::string(catalogue::to_string(kind)) + "/" + name;
}

} // namespace godwit::catalogue
