#include <godwit/entry/server_names.hpp>

#include <algorithm>
#include <cstddef>

namespace godwit::entry {

namespace {

constexpr std::size_t most_named = 4;

} // namespace

std::string first_names(const std::vector<placement::server_id>& servers)
{
    std::string names;
    const std::size_t count = std::min(servers.size(), most_named);
    for (std::size_t each = 0; each < count; ++each) {
        if (!names.empty())
            names += ',';
        names += servers[each].value();
    }
    return names;
}

} // namespace godwit::entry
