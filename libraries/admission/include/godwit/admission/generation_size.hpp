#pragma once

#include <godwit/admission/generation_parameters.hpp>
#include <godwit/placement/work_size.hpp>

#include <cstdint>

namespace godwit::admission {

/// The load that a generation puts on an engine, estimated from its
/// parameters and the tokens written so far.
class generation_size
{
public:
    [[nodiscard]] static generation_size create(
        const generation_parameters& parameters,
        std::uint64_t written_tokens) noexcept;

    /// The output that memory is planned for: the caller's estimate with a
    /// margin.
    [[nodiscard]] std::uint64_t expected_output_tokens() const noexcept;

    /// The part of the expected output that is still to be written.
    [[nodiscard]] std::uint64_t remaining_tokens() const noexcept;

    /// Whether it frees its memory shortly after its start.
    [[nodiscard]] bool is_short() const noexcept;

    /// Its load at the server that prefills its prompt, or has done so.
    [[nodiscard]] placement::work_size work() const noexcept;

    /// Its load at the server that its KV cache is migrated to.
    [[nodiscard]] placement::work_size migrated_work() const noexcept;

    friend bool
    operator==(const generation_size&, const generation_size&) = default;

private:
    generation_size(
        const generation_parameters& parameters,
        std::uint64_t written_tokens) noexcept
        : parameters_(parameters), written_tokens_(written_tokens)
    {}

    generation_parameters parameters_;
    std::uint64_t written_tokens_;
};

} // namespace godwit::admission
