#include "passed_fields.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace godwit::proxy {

namespace {

constexpr std::array<std::string_view, 11> one_hop_fields{
    "Connection",
    "Content-Length",
    "Expect",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade"};

constexpr std::array<std::string_view, 4> caller_fields{
    "Authorization", "Host", "Idempotency-Key", "Last-Event-ID"};

template<class Names>
bool contains(const Names& names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(), [name](auto each) {
        return http::same_field_name(each, name);
    });
}

bool is_own(std::string_view name)
{
    constexpr std::string_view prefix = "Godwit-";
    return http::same_field_name(name.substr(0, prefix.size()), prefix);
}

} // namespace

http::header_fields passed_on(const http::header_fields& received)
{
    http::header_fields kept;
    for (const auto& field : received) {
        const bool is_dropped = contains(one_hop_fields, field.name) ||
                                contains(caller_fields, field.name) ||
                                is_own(field.name);
        if (!is_dropped)
            kept.add(field.name, field.value);
    }
    return kept;
}

http::header_fields passed_back(const http::header_fields& received)
{
    http::header_fields kept;
    for (const auto& field : received) {
        if (!contains(one_hop_fields, field.name) && !is_own(field.name))
            kept.add(field.name, field.value);
    }
    return kept;
}

} // namespace godwit::proxy
