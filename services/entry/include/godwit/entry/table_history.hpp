#pragma once

#include <godwit/core/result.hpp>
#include <godwit/wire/table_changes.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace godwit::entry {

/// The route table in force as its operator wrote it, and the changes that led
/// to it: what a neighbour needs that has this or an earlier version.
class table_history
{
public:
    /// A host that lacks more versions gets the whole table.
    static constexpr std::size_t max_steps = 16;

    /// A version that came whole; how it follows from the one before is worked
    /// out here. Without memory for that neighbours get it whole.
    void set_full(std::uint64_t version, std::string text);

    /// A version that `apply` made of `changes`, which are handed on as they
    /// came.
    void set_from_changes(std::string text, const wire::table_changes& changes);

    /// The text that the changes lead to. Fails with `expired` when they begin
    /// at another text than the one in force, with `protocol` when they cannot
    /// be applied or lead to another text than they say.
    [[nodiscard]] core::result<std::string>
    apply(const wire::table_changes& changes) const;

    /// What leads from the text with the digest `base` to the one in force, or
    /// to it from nothing where that text is not known. Fails with `exhausted`
    /// when there is no memory for it, or no table.
    [[nodiscard]] core::result<wire::table_changes>
    changes_from(const std::string& base);

    /// The digest of the text in force; empty before the first.
    [[nodiscard]] const std::string& digest() const noexcept { return digest_; }

    [[nodiscard]] const std::string& text() const noexcept { return text_; }

private:
    struct stored_step
    {
        std::string base; ///< The digest of the text that it begins at.
        wire::table_step step;
    };

    void add(std::string base, wire::table_step step);
    void replace(std::uint64_t version, std::string text, std::string digest);

    std::string text_;
    std::string digest_; ///< The digest of it.
    std::uint64_t version_ = 0;
    std::deque<stored_step> steps_; ///< Each begins where the last one ends.
    std::optional<wire::table_step> full_step_; ///< Made when first asked for.
};

} // namespace godwit::entry
