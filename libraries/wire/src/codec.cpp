#include <godwit/wire/codec.hpp>

#include "frame_reader.hpp"
#include "message_reader.hpp"
#include "message_writer.hpp"

#include <cstring>
#include <memory>

namespace godwit::wire {

namespace {

constexpr std::size_t initial_builder_size = 512;
constexpr unsigned table_depth_limit = 8;
constexpr unsigned table_count_limit = 65536;

core::error invalid_frame(const std::string& reason)
{
    return {
        core::error_kind::protocol,
        "a frame is not valid: " + reason,
        "check that the peer is a godwitworks process of this release"};
}

// FlatBuffers reads scalars in place and needs aligned memory, but a frame may
// start at any byte of the receive buffer.
class aligned_copy
{
public:
    explicit aligned_copy(std::string_view bytes)
        : words_(std::make_unique<std::uint64_t[]>(
              bytes.size() / sizeof(std::uint64_t) + 1))
    {
        std::memcpy(words_.get(), bytes.data(), bytes.size());
    }

    [[nodiscard]] const std::uint8_t* data() const noexcept
    {
        return reinterpret_cast<const std::uint8_t*>(words_.get());
    }

private:
    std::unique_ptr<std::uint64_t[]> words_;
};

template<class Table>
core::result<message> read_payload(const Table* table, frame_reader& reader)
{
    if (table == nullptr)
        return tl::unexpected(invalid_frame("it has no payload"));
    message decoded = read(*table, reader);
    if (reader.failed())
        return tl::unexpected(invalid_frame(reader.failure()));
    return decoded;
}

core::result<message>
read_frame(const format::frame& frame, frame_reader& reader)
{
    switch (frame.payload_type()) {
    case format::payload::hello:
        return read_payload(frame.payload_as_hello(), reader);
    case format::payload::heartbeat:
        return read_payload(frame.payload_as_heartbeat(), reader);
    case format::payload::catalogue_snapshot:
        return read_payload(frame.payload_as_catalogue_snapshot(), reader);
    case format::payload::catalogue_change:
        return read_payload(frame.payload_as_catalogue_change(), reader);
    case format::payload::catalogue_position:
        return read_payload(frame.payload_as_catalogue_position(), reader);
    case format::payload::backend_servers:
        return read_payload(frame.payload_as_backend_servers(), reader);
    case format::payload::server_sign:
        return read_payload(frame.payload_as_server_sign(), reader);
    case format::payload::claim_request:
        return read_payload(frame.payload_as_claim_request(), reader);
    case format::payload::claim_answer:
        return read_payload(frame.payload_as_claim_answer(), reader);
    case format::payload::claim_release:
        return read_payload(frame.payload_as_claim_release(), reader);
    case format::payload::claim_finished:
        return read_payload(frame.payload_as_claim_finished(), reader);
    case format::payload::claim_forward:
        return read_payload(frame.payload_as_claim_forward(), reader);
    case format::payload::claim_forward_answer:
        return read_payload(frame.payload_as_claim_forward_answer(), reader);
    case format::payload::digest:
        return read_payload(frame.payload_as_digest(), reader);
    case format::payload::pull:
        return read_payload(frame.payload_as_pull(), reader);
    case format::payload::records:
        return read_payload(frame.payload_as_records(), reader);
    case format::payload::duty_message:
        return read_payload(frame.payload_as_duty_message(), reader);
    case format::payload::claim_withdrawal:
        return read_payload(frame.payload_as_claim_withdrawal(), reader);
    case format::payload::table_document:
        return read_payload(frame.payload_as_table_document(), reader);
    case format::payload::listed_servers:
        return read_payload(frame.payload_as_listed_servers(), reader);
    case format::payload::host_work:
        return read_payload(frame.payload_as_host_work(), reader);
    case format::payload::link_claim:
        return read_payload(frame.payload_as_link_claim(), reader);
    case format::payload::cell_work:
        return read_payload(frame.payload_as_cell_work(), reader);
    case format::payload::table_changes:
        return read_payload(frame.payload_as_table_changes(), reader);
    case format::payload::crash_reports:
        return read_payload(frame.payload_as_crash_reports(), reader);
    case format::payload::server_limits:
        return read_payload(frame.payload_as_server_limits(), reader);
    case format::payload::zone_evacuations:
        return read_payload(frame.payload_as_zone_evacuations(), reader);
    case format::payload::cold_servers:
        return read_payload(frame.payload_as_cold_servers(), reader);
    case format::payload::rollout_reports:
        return read_payload(frame.payload_as_rollout_reports(), reader);
    case format::payload::rollout_responses:
        return read_payload(frame.payload_as_rollout_responses(), reader);
    case format::payload::server_list_offer:
        return read_payload(frame.payload_as_server_list_offer(), reader);
    case format::payload::server_list_request:
        return read_payload(frame.payload_as_server_list_request(), reader);
    case format::payload::server_list_part:
        return read_payload(frame.payload_as_server_list_part(), reader);
    case format::payload::source_positions:
        return read_payload(frame.payload_as_source_positions(), reader);
    case format::payload::load_statements:
        return read_payload(frame.payload_as_load_statements(), reader);
    case format::payload::waiting_heads:
        return read_payload(frame.payload_as_waiting_heads(), reader);
    case format::payload::length_sums:
        return read_payload(frame.payload_as_length_sums(), reader);
    case format::payload::NONE:
        break;
    }
    return tl::unexpected(invalid_frame("its message type is unknown"));
}

template<class Table>
format::payload payload_type(flatbuffers::Offset<Table> /*table*/)
{
    return format::payloadTraits<Table>::enum_value;
}

} // namespace

std::string encode(const message& value)
{
    flatbuffers::FlatBufferBuilder out(initial_builder_size);
    std::visit(
        [&out](const auto& alternative) {
            const auto table = write(out, alternative);
            format::FinishframeBuffer(
                out,
                format::Createframe(out, payload_type(table), table.Union()));
        },
        value);
    return {
        reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize()};
}

core::result<message> decode(std::string_view body)
{
    const aligned_copy copy(body);
    flatbuffers::Verifier verifier(
        copy.data(), body.size(), table_depth_limit, table_count_limit);
    if (!format::VerifyframeBuffer(verifier))
        return tl::unexpected(invalid_frame("verification failed"));
    frame_reader reader(body.size());
    return read_frame(*format::Getframe(copy.data()), reader);
}

} // namespace godwit::wire
