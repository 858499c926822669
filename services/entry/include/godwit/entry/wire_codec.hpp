#pragma once

#include <godwit/entry/forwarding_metadata.hpp>
#include <godwit/entry/hold.hpp>
#include <godwit/entry/migration.hpp>
#include <godwit/entry/request_metadata.hpp>
#include <godwit/entry/response_metadata.hpp>
#include <godwit/entry/server_report.hpp>
#include <godwit/entry/table_parser.hpp>
#include <godwit/http/header_fields.hpp>
#include <godwit/http/request.hpp>
#include <godwit/http/response.hpp>
#include <godwit/http/response_head.hpp>
#include <godwit/placement/backend_server.hpp>

#include <concepts>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace godwit::entry {

/// Translates between this program's types and the wire format of callers and
/// backend servers. Implemented by an adapter.
template<class Codec>
concept wire_codec = requires(
    const http::header_fields& fields,
    const forwarding_metadata& forwarding,
    const copy_request& copy,
    const hold_request& hold,
    const http::response& response,
    const std::string& handle,
    const placement::server_id& server)
{
    // Reads the header fields of a caller's request.
    {
        Codec::read_request_metadata(fields)
        } -> std::same_as<request_metadata>;
    // Returns the ids of the parts of the prompt that other requests may have
    // too, in order: all parts but the last.
    {
        Codec::read_shared_prompt_parts(fields)
        } -> std::same_as<std::vector<std::string>>;
    // Returns the header fields of a request to a backend server.
    {
        Codec::request_fields(fields, forwarding)
        } -> std::same_as<http::header_fields>;
    // Reads the header fields of a backend server's response.
    {
        Codec::read_response_metadata(fields)
        } -> std::same_as<response_metadata>;
    // Returns the header fields of a response to the caller.
    {
        Codec::response_fields(fields)
        } -> std::same_as<http::header_fields>;
    {
        Codec::write_copy_request(copy)
        } -> std::same_as<http::request>;
    {
        Codec::read_copy_response(response)
        } -> std::same_as<copy_response>;
    // Asks a server to free a KV cache copy that no generation resumes from.
    {
        Codec::write_copy_release(handle)
        } -> std::same_as<http::request>;
    // Asks a server to hold capacity for the request that this host sends next.
    {
        Codec::write_hold_request(hold)
        } -> std::same_as<http::request>;
    {
        Codec::read_hold_response(response)
        } -> std::same_as<hold_response>;
    {
        Codec::write_hold_release(handle)
        } -> std::same_as<http::request>;
    // Asks a backend server for its report: whether it is draining, and the
    // start of its process. Another server at its address must not respond.
    {
        Codec::write_report_request(server)
        } -> std::same_as<http::request>;
    // Asks a backend server for its health at `handle`, the path of its
    // service. Another server at its address must not respond.
    {
        Codec::write_health_request(server, handle)
        } -> std::same_as<http::request>;
    {
        Codec::read_report(response)
        } -> std::same_as<core::result<server_report>>;
    // Begins to parse a route table as its operator wrote it.
    {
        Codec::make_table_parser(handle)
        } -> std::same_as<table_parser>;
};

/// The functions of one codec as pointers, so that the program is compiled once
/// and not once for each codec.
struct codec_functions
{
    request_metadata (*read_request_metadata)(const http::header_fields&);
    std::vector<std::string> (*read_shared_prompt_parts)(
        const http::header_fields&);
    http::header_fields (*request_fields)(
        const http::header_fields&, const forwarding_metadata&);
    response_metadata (*read_response_metadata)(const http::header_fields&);
    http::header_fields (*response_fields)(const http::header_fields&);
    http::request (*write_copy_request)(const copy_request&);
    copy_response (*read_copy_response)(const http::response&);
    http::request (*write_copy_release)(const std::string&);
    http::request (*write_hold_request)(const hold_request&);
    hold_response (*read_hold_response)(const http::response&);
    http::request (*write_hold_release)(const std::string&);
    http::request (*write_report_request)(const placement::server_id&);
    http::request (*write_health_request)(
        const placement::server_id&, const std::string& path);
    core::result<server_report> (*read_report)(const http::response&);
    table_parser (*make_table_parser)(std::string_view);

    template<wire_codec Codec>
    [[nodiscard]] static constexpr codec_functions of() noexcept
    {
        return codec_functions{
            &Codec::read_request_metadata,
            &Codec::read_shared_prompt_parts,
            &Codec::request_fields,
            &Codec::read_response_metadata,
            &Codec::response_fields,
            &Codec::write_copy_request,
            &Codec::read_copy_response,
            &Codec::write_copy_release,
            &Codec::write_hold_request,
            &Codec::read_hold_response,
            &Codec::write_hold_release,
            &Codec::write_report_request,
            &Codec::write_health_request,
            &Codec::read_report,
            &Codec::make_table_parser};
    }
};

} // namespace godwit::entry
