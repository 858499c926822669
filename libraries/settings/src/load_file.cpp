#include <godwit/settings/load_file.hpp>

#include <fstream>

namespace godwit::settings {

core::result<reader> load_file(const std::string& path, std::size_t max_size)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return core::fail(
            core::error_kind::not_found,
            path + ": the file cannot be read",
            "check its name and permissions");

    // Reading one byte more than allowed detects a file that is too large
    // without relying on the size that the file system reports.
    std::string text(max_size + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > max_size)
        return core::fail(
            core::error_kind::exhausted,
            path + ": the file is larger than " + std::to_string(max_size) +
                " bytes",
            "write a smaller one");

    auto parsed = reader::parse(text);
    if (!parsed)
        return core::fail(
            parsed.error().kind(),
            path + ": " + parsed.error().message(),
            parsed.error().remedy());
    return parsed;
}

} // namespace godwit::settings
