#pragma once

#include <godwit/http/header_fields.hpp>

namespace godwit::http {

/// The status and the fields of an answer whose body follows.
struct response_head
{
    unsigned status = 200;
    header_fields fields;

    friend bool
    operator==(const response_head&, const response_head&) = default;
};

} // namespace godwit::http
