#pragma once

#include <godwit/admission/generation_parameters.hpp>
#include <godwit/admission/observed_lengths.hpp>
#include <godwit/placement/work_size.hpp>

#include <cstdint>
#include <optional>

namespace godwit::admission {

/// The load that a generation puts on an engine, estimated from its
/// parameters and the tokens written so far.
class generation_size
{
public:
    /// Without `observed`, lengths are estimated by constants.
    [[nodiscard]] static generation_size create(
        const generation_parameters& parameters,
        std::uint64_t written_tokens,
        const std::optional<observed_lengths>& observed = {}) noexcept;

    /// The output that memory is planned for: the caller's estimate with a
    /// margin, or the observed median where that is closer.
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
        std::uint64_t written_tokens,
        const std::optional<observed_lengths>& observed) noexcept
        : parameters_(parameters), written_tokens_(written_tokens),
          observed_(observed)
    {}

    [[nodiscard]] bool is_estimate_used() const noexcept;
    [[nodiscard]] std::uint64_t estimated_tokens() const noexcept;
    [[nodiscard]] std::uint64_t growth_tokens() const noexcept;

    generation_parameters parameters_;
    std::uint64_t written_tokens_;
    std::optional<observed_lengths> observed_;
};

} // namespace godwit::admission
