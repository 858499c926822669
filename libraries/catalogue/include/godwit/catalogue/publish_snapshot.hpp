#pragma once

#include <godwit/catalogue/catalogue_source.hpp>
#include <godwit/catalogue/state.hpp>

namespace godwit::catalogue {

/// Give `content` to the proxy; it is newer than all before.
struct publish_snapshot
{
    state_pointer content;
    catalogue_source source = catalogue_source::none;

    friend bool
    operator==(const publish_snapshot&, const publish_snapshot&) = default;
};

} // namespace godwit::catalogue
