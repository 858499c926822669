#include <godwit/entry/source_position_conversion.hpp>

namespace godwit::entry {

std::optional<wire::source_position>
to_wire(const std::optional<dissemination::source_position>& position)
{
    if (!position)
        return std::nullopt;
    return wire::source_position{position->epoch, position->offset};
}

std::optional<dissemination::source_position>
from_wire(const std::optional<wire::source_position>& position)
{
    if (!position)
        return std::nullopt;
    return dissemination::source_position{position->epoch, position->offset};
}

wire::source_positions to_wire(const dissemination::source_report& report)
{
    return {
        .tables = to_wire(report.tables),
        .table_version = report.contents.table_version,
        .servers = to_wire(report.servers),
        .server_digest = report.contents.server_digest,
        .hosts = to_wire(report.hosts)};
}

dissemination::source_report from_wire(const wire::source_positions& message)
{
    return {
        from_wire(message.tables),
        from_wire(message.servers),
        from_wire(message.hosts),
        {message.table_version, message.server_digest}};
}

} // namespace godwit::entry
