#include <godwit/entry/neighbour_selection.hpp>

#include <algorithm>
#include <cstddef>
#include <optional>

namespace godwit::entry {

namespace {

// Maximum number of cells with backup links. Fleets with more cells have enough
// links on which messages are forwarded, and links cost memory and CPU time, so
// that they do without backups.
constexpr std::size_t max_cells_with_backups = 8;

struct cell_position
{
    std::size_t cell = 0;
    std::size_t member = 0;
};

std::optional<cell_position>
find(const std::vector<host_cell>& cells, const core::host_name& self)
{
    for (std::size_t cell = 0; cell < cells.size(); ++cell) {
        const auto& members = cells[cell].members;
        const auto found = std::find_if(
            members.begin(), members.end(), [&self](const auto& host) {
                return host.name == self;
            });
        if (found != members.end())
            return cell_position{
                cell, static_cast<std::size_t>(found - members.begin())};
    }
    return std::nullopt;
}

// Returns whether the hosts of cell `own` open the links to their counterparts
// in cell `other`; otherwise the hosts of `other` open them. Each cell opens
// the links to every second cell after it and to every second cell before it,
// so that no host opens most of its links.
bool opens_link(std::size_t own, std::size_t other)
{
    const bool is_even = (own + other) % 2 == 0;
    return is_even == (own < other);
}

} // namespace

std::vector<known_host> select_neighbours(
    const std::vector<host_cell>& cells, const core::host_name& self)
{
    const auto own = find(cells, self);
    if (!own)
        return {};
    const auto& own_members = cells[own->cell].members;
    std::vector<known_host> chosen(
        own_members.begin(),
        own_members.begin() + static_cast<std::ptrdiff_t>(own->member));
    const auto add = [&](const std::vector<known_host>& members,
                         std::size_t index) {
        const known_host& other = members[index % members.size()];
        if (std::find(chosen.begin(), chosen.end(), other) == chosen.end())
            chosen.push_back(other);
    };
    for (std::size_t cell = 0; cell < cells.size(); ++cell) {
        if (cell == own->cell)
            continue;
        // If the other cell is smaller, one of its hosts is the counterpart of
        // several hosts of this cell. Those whose position does not exist in
        // the other cell always open the link themselves.
        const auto& members = cells[cell].members;
        if (opens_link(own->cell, cell) || own->member >= members.size())
            add(members, own->member);
        if (cells.size() <= max_cells_with_backups)
            add(members, own->member + 1);
    }
    return chosen;
}

} // namespace godwit::entry
