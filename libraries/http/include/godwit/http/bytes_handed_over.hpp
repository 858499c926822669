#pragma once

namespace godwit::http {

/// Whether any byte of a request had been handed to the socket when the
/// exchange failed. Only `none` proves that the server cannot have run it.
enum class bytes_handed_over
{
    none,
    some,
};

} // namespace godwit::http
