#pragma once

#include <godwit/http/header_fields.hpp>
#include <godwit/http/shared_body.hpp>

#include <string>

namespace godwit::http {

/// A whole request. The library itself writes and reads the fields that
/// frame the message (Content-Length, Transfer-Encoding, Connection).
struct request
{
    std::string method = "GET";
    std::string target = "/"; ///< Path and query in origin form.
    header_fields fields;
    shared_body body;

    friend bool operator==(const request&, const request&) = default;
};

} // namespace godwit::http
