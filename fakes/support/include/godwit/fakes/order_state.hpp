#pragma once

#include <godwit/fakes/engine_order.hpp>

#include <cstdint>
#include <set>
#include <string>

namespace godwit::fakes {

/// Whether an engine refuses orders with an old fencing number.
enum class fencing_rule
{
    checked,
    ignored,
};

/// What an engine was ordered to hold and to be.
class order_state
{
public:
    order_state(const std::string& model, fencing_rule rule)
        : models_{model}, rule_(rule)
    {}

    /// Carries an order out, unless the rule forbids it; then false.
    bool apply(const engine_order& order);

    [[nodiscard]] const std::set<std::string>& models() const noexcept
    {
        return models_;
    }

    [[nodiscard]] const std::set<std::string>& adapters() const noexcept
    {
        return adapters_;
    }

    [[nodiscard]] const std::string& version() const noexcept
    {
        return version_;
    }

    [[nodiscard]] const std::string& role() const noexcept { return role_; }

    [[nodiscard]] std::uint64_t highest_fencing() const noexcept
    {
        return highest_fencing_;
    }

private:
    std::set<std::string> models_;
    std::set<std::string> adapters_;
    std::string version_ = "1";
    std::string role_ = "serve";
    std::uint64_t highest_fencing_ = 0;
    fencing_rule rule_;
};

} // namespace godwit::fakes
