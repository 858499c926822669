#pragma once

#include <godwit/claims/record.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace godwit::claims {

/// Builds the text of one record, entry by entry, within its bounds.
class record_writer
{
public:
    /// Adds `entry`, or leaves the record as it is and returns false when
    /// there is no room. The holder of `entry` must be valid.
    bool add(const record_entry& entry);

    [[nodiscard]] bool empty() const noexcept { return count_ == 0; }

    /// The text so far.
    [[nodiscard]] std::string text() const;

private:
    struct encoded
    {
        std::string text;
        std::string holder;
    };

    [[nodiscard]] encoded encode(const claim_entry& claim) const;
    [[nodiscard]] encoded encode(const release_entry& release) const;
    [[nodiscard]] encoded encode(const finished_entry& finished) const;
    [[nodiscard]] std::size_t holder_index(const std::string& holder) const;

    std::map<std::string, std::size_t> holder_indexes_;
    std::string holders_;
    std::string entries_;
    std::size_t count_ = 0;
};

} // namespace godwit::claims
