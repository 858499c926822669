#pragma once

#include <godwit/dispatch/scheduler_state.hpp>
#include <godwit/membership/pool.hpp>

#include <boost/json/object.hpp>

namespace godwit::proxy {

/// What dispatch holds and what membership thinks of its servers, for the
/// state dump.
[[nodiscard]] boost::json::object scheduler_dump(
    const dispatch::scheduler_state& state, const membership::pool& pool);

} // namespace godwit::proxy
