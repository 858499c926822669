#pragma once

#include <godwit/http/header_fields.hpp>

#include <string>

namespace godwit::http {

/// A whole answer. The library itself writes and reads the fields that
/// frame the message (Content-Length, Transfer-Encoding, Connection).
struct response
{
    unsigned status = 200;
    header_fields fields;
    std::string body;

    friend bool operator==(const response&, const response&) = default;
};

} // namespace godwit::http
