#pragma once

namespace godwit::ctl {

/// What the operator asks for.
enum class command
{
    check,
    publish,
    get,
    history,
    status,
    dump,
    explain,
    hash_token,
};

} // namespace godwit::ctl
