#pragma once

#include <godwit/core/hash.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace godwit::catalogue {

/// An immutable map from strings to shared values. A changed copy shares
/// all but one path of two nodes and one bucket with the original, so its
/// cost does not grow with the map up to some ten thousand items.
template<class Value>
class persistent_map
{
public:
    using pointer = std::shared_ptr<const Value>;

    persistent_map() : root_(std::make_shared<const node<branch_pointer>>()) {}

    [[nodiscard]] std::size_t size() const noexcept { return size_; }

    /// The value of `key`, or null.
    [[nodiscard]] pointer find(std::string_view key) const
    {
        const position at = locate(key);
        const auto& child = (*root_)[at.branch];
        if (!child || !(*child)[at.bucket])
            return nullptr;
        for (const item& candidate : *(*child)[at.bucket]) {
            if (candidate.key == key)
                return candidate.value;
        }
        return nullptr;
    }

    /// A copy in which `key` has `value`.
    [[nodiscard]] persistent_map with(std::string_view key, pointer value) const
    {
        bucket changed = copy_without(key);
        const std::size_t shrunk = changed.size();
        const std::size_t before = bucket_size(key);
        changed.push_back({std::string(key), std::move(value)});
        return replaced(key, std::move(changed), size_ + 1 + shrunk - before);
    }

    /// A copy without `key`.
    [[nodiscard]] persistent_map without(std::string_view key) const
    {
        bucket changed = copy_without(key);
        const std::size_t before = bucket_size(key);
        if (changed.size() == before)
            return *this;
        return replaced(key, std::move(changed), size_ - 1);
    }

    /// Calls `visit(key, const Value&)` for each item, in no set order.
    template<class Visitor>
    void for_each(Visitor&& visit) const
    {
        for (const auto& child : *root_) {
            if (!child)
                continue;
            for (const auto& items : *child) {
                if (!items)
                    continue;
                for (const item& each : *items)
                    visit(each.key, *each.value);
            }
        }
    }

private:
    struct item
    {
        std::string key;
        pointer value;
    };

    static constexpr std::size_t fan_out = 64;
    template<class Child>
    using node = std::array<Child, fan_out>;
    using bucket = std::vector<item>;
    using bucket_pointer = std::shared_ptr<const bucket>;
    using branch = node<bucket_pointer>;
    using branch_pointer = std::shared_ptr<const branch>;

    struct position
    {
        std::size_t branch;
        std::size_t bucket;
    };

    [[nodiscard]] static position locate(std::string_view key)
    {
        const std::uint64_t hash = core::stable_hash(key);
        return {
            static_cast<std::size_t>(hash % fan_out),
            static_cast<std::size_t>(hash / fan_out % fan_out)};
    }

    [[nodiscard]] const bucket* bucket_of(std::string_view key) const
    {
        const position at = locate(key);
        const auto& child = (*root_)[at.branch];
        return child ? (*child)[at.bucket].get() : nullptr;
    }

    [[nodiscard]] std::size_t bucket_size(std::string_view key) const
    {
        const bucket* items = bucket_of(key);
        return items == nullptr ? 0 : items->size();
    }

    [[nodiscard]] bucket copy_without(std::string_view key) const
    {
        bucket copy;
        const bucket* items = bucket_of(key);
        if (items == nullptr)
            return copy;
        std::copy_if(
            items->begin(),
            items->end(),
            std::back_inserter(copy),
            [key](const item& each) { return each.key != key; });
        return copy;
    }

    [[nodiscard]] persistent_map
    replaced(std::string_view key, bucket items, std::size_t size) const
    {
        const position at = locate(key);
        const auto& old_branch = (*root_)[at.branch];
        auto new_branch = old_branch ? std::make_shared<branch>(*old_branch)
                                     : std::make_shared<branch>();
        (*new_branch)[at.bucket] =
            items.empty() ? nullptr
                          : std::make_shared<const bucket>(std::move(items));
        auto new_root = std::make_shared<node<branch_pointer>>(*root_);
        (*new_root)[at.branch] = std::move(new_branch);
        persistent_map copy(*this);
        copy.root_ = std::move(new_root);
        copy.size_ = size;
        return copy;
    }

    std::shared_ptr<const node<branch_pointer>> root_;
    std::size_t size_ = 0;
};

} // namespace godwit::catalogue
