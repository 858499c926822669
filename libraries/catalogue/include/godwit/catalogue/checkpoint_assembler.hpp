#pragma once

#include <godwit/catalogue/checkpoint.hpp>
#include <godwit/catalogue/record.hpp>

#include <boost/json/array.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace godwit::catalogue {

/// Collects the chunks of checkpoints from the log. Chunks may come in any
/// order, twice, from several writers and between changes; what is damaged
/// is left out. At most two incomplete checkpoints are kept, and the one
/// that grew least recently goes first.
class checkpoint_assembler
{
public:
    /// Takes any record. Returns the checkpoint that it completes.
    [[nodiscard]] std::optional<checkpoint> offer(const record& taken);

    /// Whether `taken` is a record of a checkpoint.
    [[nodiscard]] static bool is_chunk(const record& taken);

    /// The chunks of an incomplete checkpoint that were seen, by index.
    [[nodiscard]] std::set<std::uint32_t>
    seen(std::uint64_t state_offset, std::uint64_t hash) const;

private:
    struct partial
    {
        std::uint64_t state_offset = 0;
        std::uint64_t hash = 0;
        std::uint32_t count = 0;
        std::map<std::uint32_t, std::string> records;
    };

    partial& find_or_add(
        std::uint64_t state_offset, std::uint64_t hash, std::uint32_t count);

    std::vector<partial> partials_; // Least recently extended first.
};

} // namespace godwit::catalogue
