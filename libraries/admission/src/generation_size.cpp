#include <godwit/admission/generation_size.hpp>

#include <algorithm>

namespace godwit::admission {

namespace {

// A caller's guess is right at the median; room for this much more keeps
// most generations from outgrowing their plan.
constexpr double guess_margin = 1.25;
// Without a guess: of the most that the generation may write.
constexpr double usual_output_share = 0.5;
// Growth that is counted ahead: about two seconds of writing. Counting what a
// run takes at its end would leave memory unused, since while some of a batch
// grow, others end. The least is for runs that outlast their caller's guess.
constexpr std::uint64_t most_growth_tokens = 200;
constexpr std::uint64_t least_growth_tokens = 50;
// A generation of so few tokens leaves its memory again within half a second:
// it makes nobody late, whenever it starts.
constexpr std::uint64_t short_output_tokens = 64;

} // namespace

generation_size generation_size::create(
    const generation_parameters& terms, std::uint64_t written_tokens) noexcept
{
    return {terms, written_tokens};
}

std::uint64_t generation_size::expected_output_tokens() const noexcept
{
    const double guessed = terms_.expected_output_tokens
                               ? guess_margin * *terms_.expected_output_tokens
                               : usual_output_share * terms_.max_output_tokens;
    return std::min<std::uint64_t>(
        static_cast<std::uint64_t>(guessed), terms_.max_output_tokens);
}

std::uint64_t generation_size::tokens_left() const noexcept
{
    const std::uint64_t expected = expected_output_tokens();
    return expected - std::min(expected, written_tokens_);
}

bool generation_size::is_short() const noexcept
{
    return expected_output_tokens() <= short_output_tokens;
}

placement::work_size generation_size::work() const noexcept
{
    placement::work_size work = migrated_work();
    if (written_tokens_ == 0)
        work.unread_tokens = terms_.prompt_tokens;
    return work;
}

placement::work_size generation_size::migrated_work() const noexcept
{
    placement::work_size work;
    work.requests = 1;
    work.tokens =
        terms_.prompt_tokens + written_tokens_ +
        std::clamp(tokens_left(), least_growth_tokens, most_growth_tokens);
    return work;
}

} // namespace godwit::admission
