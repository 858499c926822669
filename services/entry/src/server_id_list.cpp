#include <godwit/entry/server_id_list.hpp>

#include <algorithm>
#include <cstddef>

namespace godwit::entry {

namespace {

constexpr std::size_t max_joined = 4;

} // namespace

std::string join_first_ids(const std::vector<placement::server_id>& servers)
{
    std::string names;
    const std::size_t count = std::min(servers.size(), max_joined);
    for (std::size_t each = 0; each < count; ++each) {
        if (!names.empty())
            names += ',';
        names += servers[each].value();
    }
    return names;
}

} // namespace godwit::entry
