#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace godwit::fakes {

/// What a plain service did: how often for each idempotency key and each
/// request id, and the answer to each key. Beyond the bound the oldest are
/// forgotten.
class effect_ledger
{
public:
    explicit effect_ledger(std::size_t capacity = 100'000) : capacity_(capacity)
    {}

    using counts = std::unordered_map<std::string, std::uint64_t>;

    /// Notes one effect and returns its number, from 1. An empty key or id
    /// is not counted apart.
    std::uint64_t note(const std::string& key, const std::string& request_id);

    /// The number of the first effect of that key.
    [[nodiscard]] std::optional<std::uint64_t>
    first_effect(const std::string& key) const;

    [[nodiscard]] std::uint64_t total() const noexcept { return total_; }

    [[nodiscard]] const counts& by_key() const noexcept { return by_key_; }

    [[nodiscard]] const counts& by_request() const noexcept
    {
        return by_request_;
    }

private:
    void count(
        counts& table, std::deque<std::string>& order, const std::string& name);

    std::size_t capacity_;
    std::uint64_t total_ = 0;
    counts by_key_;
    counts by_request_;
    counts first_;
    std::deque<std::string> key_order_;
    std::deque<std::string> request_order_;
};

} // namespace godwit::fakes
