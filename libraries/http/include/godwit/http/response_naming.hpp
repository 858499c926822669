#pragma once

namespace godwit::http {

/// Whether the response of an exchange names the request that it answers. A
/// late second response that names none cannot be told from the response to the
/// next request on the connection, unless that one has to name its request.
enum class response_naming
{
    named,
    unnamed,
};

} // namespace godwit::http
