#pragma once

#include <godwit/placement/backend_server.hpp>

#include <array>
#include <bitset>
#include <cstddef>
#include <cstdint>

namespace godwit::placement {

/// A digest of a set of servers of constant size, by which two hosts find out
/// in which parts their server lists differ. The servers are divided into
/// buckets by their ids; adding or removing one changes only its bucket.
class server_list_digest
{
public:
    static constexpr std::size_t bucket_count = 64;

    using bucket_values = std::array<std::uint64_t, bucket_count>;
    using bucket_set = std::bitset<bucket_count>;

    server_list_digest() = default;

    explicit server_list_digest(const bucket_values& values) : values_(values)
    {}

    /// Returns the bucket of a server.
    [[nodiscard]] static std::size_t bucket_of(const server_id& id);

    /// Adds an incarnation of a server, or removes it if it was added.
    void toggle(const server_id& id, const server_start& start);

    /// Returns the buckets whose contents differ.
    [[nodiscard]] bucket_set differences(const server_list_digest& other) const;

    /// Returns one value for all buckets.
    [[nodiscard]] std::uint64_t combined() const noexcept;

    [[nodiscard]] const bucket_values& values() const noexcept
    {
        return values_;
    }

    friend bool
    operator==(const server_list_digest&, const server_list_digest&) = default;

private:
    bucket_values values_{};
};

} // namespace godwit::placement
