#pragma once

#include <godwit/wire/claim_answer.hpp>

#include <cstdint>
#include <vector>

namespace godwit::wire {

/// The answers to one `claim_forward`, perhaps only some of them.
struct claim_forward_answer
{
    std::uint64_t correlation = 0;
    std::vector<claim_answer> answers;

    friend bool operator==(
        const claim_forward_answer&, const claim_forward_answer&) = default;
};

} // namespace godwit::wire
