#pragma once

#include <cstddef>

namespace godwit::admission {

/// A bound on the bytes that several holders collect at the same time. While
/// the bound is reached, a holder may still grow to its equal share, so that
/// large holders do not keep small ones from their bytes. Used on one executor.
class byte_budget
{
public:
    /// What any holder may have. Longer than most bodies.
    static constexpr std::size_t min_share = std::size_t{16} * 1024;

    /// The bytes of one holder, given back when it is destroyed. Keeps a
    /// reference to the budget.
    class lease
    {
    public:
        explicit lease(byte_budget& budget) noexcept;
        ~lease();

        lease(const lease&) = delete;
        lease& operator=(const lease&) = delete;

        /// Takes `bytes` more. Returns false, and takes nothing, if they are
        /// more than the holder may have now.
        [[nodiscard]] bool try_grow(std::size_t bytes) noexcept;

    private:
        byte_budget& budget_;
        std::size_t bytes_ = 0;
    };

    [[nodiscard]] static byte_budget create(std::size_t limit) noexcept
    {
        return byte_budget(limit);
    }

    [[nodiscard]] std::size_t used() const noexcept { return used_; }

private:
    explicit byte_budget(std::size_t limit) noexcept : limit_(limit) {}

    [[nodiscard]] std::size_t share() const noexcept;

    std::size_t limit_;
    std::size_t used_ = 0;
    std::size_t leases_ = 0;
};

} // namespace godwit::admission
