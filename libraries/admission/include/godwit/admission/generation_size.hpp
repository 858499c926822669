#pragma once

#include <godwit/admission/generation_parameters.hpp>
#include <godwit/placement/work_size.hpp>

#include <cstdint>

namespace godwit::admission {

/// What a generation asks of an engine, by its caller's word and by what it
/// has written so far.
class generation_size
{
public:
    [[nodiscard]] static generation_size create(
        const generation_parameters& terms,
        std::uint64_t written_tokens) noexcept;

    /// Output that room is planned for: the caller's guess with a margin.
    [[nodiscard]] std::uint64_t expected_output_tokens() const noexcept;

    /// Of the expected output, what is still to be written.
    [[nodiscard]] std::uint64_t tokens_left() const noexcept;

    /// Whether it gives its memory back within a moment of its start.
    [[nodiscard]] bool is_short() const noexcept;

    /// Its load at a server that reads its prompt, or has read it.
    [[nodiscard]] placement::work_size work() const noexcept;

    /// Its load at a server to which its memory moves.
    [[nodiscard]] placement::work_size migrated_work() const noexcept;

    friend bool
    operator==(const generation_size&, const generation_size&) = default;

private:
    generation_size(
        const generation_parameters& terms,
        std::uint64_t written_tokens) noexcept
        : terms_(terms), written_tokens_(written_tokens)
    {}

    generation_parameters terms_;
    std::uint64_t written_tokens_;
};

} // namespace godwit::admission
