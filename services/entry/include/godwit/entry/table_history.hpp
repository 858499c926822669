#pragma once

#include <godwit/core/result.hpp>
#include <godwit/wire/table_changes.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace godwit::entry {

/// The text of the active route table as its operator wrote it, and the latest
/// steps that led to it. A step is the set of changes from one version to the
/// next. A neighbour with an earlier version is sent the steps that it lacks.
class table_history
{
public:
    /// Maximum number of steps that are kept. A host that lacks more versions
    /// gets the full table.
    static constexpr std::size_t max_steps = 16;

    /// Sets a version that was received in full and computes the step from the
    /// previous version to it. If there is no memory for the step, neighbours
    /// get the full table.
    void set_full(std::uint64_t version, std::string text);

    /// Sets a version that `apply` made from `changes`, which are forwarded to
    /// neighbours as they were received.
    void set_from_changes(std::string text, const wire::table_changes& changes);

    /// Returns the text that results from the changes. Fails with `expired` if
    /// they start from a text that is not the active one, and with `protocol`
    /// if they cannot be applied or the result does not have the digest that
    /// they state.
    [[nodiscard]] core::result<std::string>
    apply(const wire::table_changes& changes) const;

    /// Returns the changes from the text with the digest `base` to the active
    /// one, or the full text if that base is not known. Fails with `exhausted`
    /// if there is no memory for it or no active table.
    [[nodiscard]] core::result<wire::table_changes>
    changes_from(const std::string& base);

    /// Returns the digest of the active text; empty before the first.
    [[nodiscard]] const std::string& digest() const noexcept { return digest_; }

    [[nodiscard]] const std::string& text() const noexcept { return text_; }

private:
    struct stored_step
    {
        std::string base; ///< The digest of the text it applies to.
        wire::table_step step;
    };

    void add(std::string base, wire::table_step step);
    void replace(std::uint64_t version, std::string text, std::string digest);

    std::string text_;
    std::string digest_; ///< Of `text_`.
    std::uint64_t version_ = 0;
    std::deque<stored_step> steps_; ///< Each applies to the result of the last.
    std::optional<wire::table_step> full_step_; ///< Computed on first use.
};

} // namespace godwit::entry
