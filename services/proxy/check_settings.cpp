#include "check_settings.hpp"

#include "static_catalogue.hpp"

#include <godwit/dispatch/scheduler.hpp>
#include <godwit/request/token_keyring.hpp>

namespace godwit::proxy {

core::result<void> check_settings(const proxy_settings& settings)
{
    const auto keys = request::token_keyring::create(settings.resume_keys);
    if (!keys)
        return core::fail(
            core::error_kind::invalid_input,
            "resume_keys: " + keys.error().message(),
            keys.error().remedy());
    const auto scheduler = dispatch::scheduler::create(settings.dispatch);
    if (!scheduler)
        return tl::unexpected(scheduler.error());
    if (!settings.fixed.catalogue)
        return {};
    const auto catalogue = static_catalogue(*settings.fixed.catalogue);
    if (!catalogue)
        return tl::unexpected(catalogue.error());
    return {};
}

} // namespace godwit::proxy
