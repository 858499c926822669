#include <godwit/catalogue/record_window.hpp>

namespace godwit::catalogue {

namespace {

constexpr std::size_t maximum_records = 4096;
constexpr std::size_t maximum_bytes = 4UL * 1024 * 1024;
constexpr std::size_t maximum_read_records = 256;
constexpr std::size_t maximum_read_bytes = 512UL * 1024;

} // namespace

void record_window::push(const record& added, std::uint64_t hash_after)
{
    if (!items_.empty() && items_.back().kept.offset + 1 != added.offset)
        clear();
    items_.push_back({added, hash_after});
    bytes_ += added.data.size();
    while (items_.size() > maximum_records || bytes_ > maximum_bytes) {
        bytes_ -= items_.front().kept.data.size();
        items_.pop_front();
    }
}

void record_window::clear()
{
    items_.clear();
    bytes_ = 0;
}

std::optional<std::uint64_t>
record_window::hash_at(std::uint64_t next_offset) const
{
    if (items_.empty() || next_offset <= items_.front().kept.offset)
        return std::nullopt;
    const std::uint64_t index = next_offset - items_.front().kept.offset - 1;
    if (index >= items_.size())
        return std::nullopt;
    return items_[index].hash_after;
}

std::vector<record> record_window::read(std::uint64_t from) const
{
    std::vector<record> found;
    if (items_.empty() || from < items_.front().kept.offset)
        return found;
    std::size_t bytes = 0;
    for (std::uint64_t index = from - items_.front().kept.offset;
         index < items_.size() && found.size() < maximum_read_records;
         ++index) {
        const record& next = items_[index].kept;
        bytes += next.data.size();
        if (!found.empty() && bytes > maximum_read_bytes)
            break;
        found.push_back(next);
    }
    return found;
}

} // namespace godwit::catalogue
