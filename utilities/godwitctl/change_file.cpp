#include "change_file.hpp"

#include <godwit/catalogue/codec.hpp>
#include <godwit/catalogue/limits.hpp>

#include <fstream>
#include <iterator>

namespace godwit::ctl {

core::result<catalogue::change_set> load_change_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text;
    // One byte more than allowed is enough to see that it is too large.
    text.resize(catalogue::maximum_record_bytes + 1);
    if (!file.read(text.data(), static_cast<std::streamsize>(text.size())) &&
        !file.eof()) {
        return core::fail(
            core::error_kind::not_found,
            path + " cannot be read",
            "check the path and its permissions");
    }
    text.resize(static_cast<std::size_t>(file.gcount()));
    auto changes = catalogue::parse_change_file(text);
    if (changes)
        return changes;
    const core::error& failure = changes.error();
    return core::fail(
        failure.kind(), path + ": " + failure.message(), failure.remedy());
}

} // namespace godwit::ctl
