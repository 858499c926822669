#include <godwit/admission/generation_size.hpp>

#include <algorithm>

namespace godwit::admission {

namespace {

// Callers' estimates are right at the median; with this margin most
// generations stay within the memory planned for them.
constexpr double estimate_margin = 1.25;
// The share of the maximum output that is expected without an estimate.
constexpr double default_output_share = 0.5;
// Growth that is counted in advance: about two seconds of output. Counting the
// final size of a run would leave memory unused, since some runs of a batch
// end while others grow. The minimum is for runs that exceed their caller's
// estimate.
constexpr std::uint64_t max_growth_tokens = 200;
constexpr std::uint64_t min_growth_tokens = 50;
// The part of its observed growth that a run holds on average meanwhile.
constexpr double mean_growth_share = 0.5;
// A generation of at most this many tokens frees its memory within half a
// second, so that it delays no other request whenever it starts.
constexpr std::uint64_t max_short_output_tokens = 64;

} // namespace

generation_size generation_size::create(
    const generation_parameters& parameters,
    std::uint64_t written_tokens,
    const std::optional<observed_lengths>& observed) noexcept
{
    return {parameters, written_tokens, observed};
}

// A run that has exceeded its caller's estimate shows that the estimate was
// wrong.
bool generation_size::is_estimate_used() const noexcept
{
    if (!observed_)
        return true;
    return observed_->are_estimates_better &&
           parameters_.expected_output_tokens &&
           estimated_tokens() > written_tokens_;
}

std::uint64_t generation_size::estimated_tokens() const noexcept
{
    const double estimate =
        parameters_.expected_output_tokens
            ? estimate_margin * *parameters_.expected_output_tokens
            : default_output_share * parameters_.max_output_tokens;
    return std::min<std::uint64_t>(
        static_cast<std::uint64_t>(estimate), parameters_.max_output_tokens);
}

std::uint64_t generation_size::expected_output_tokens() const noexcept
{
    if (is_estimate_used())
        return estimated_tokens();
    return std::min<std::uint64_t>(
        written_tokens_ + observed_->median_remaining_tokens,
        parameters_.max_output_tokens);
}

std::uint64_t generation_size::remaining_tokens() const noexcept
{
    const std::uint64_t expected = expected_output_tokens();
    return expected - std::min(expected, written_tokens_);
}

// Half of the runs exceed the median; those must not take the memory for long
// either.
bool generation_size::is_short() const noexcept
{
    if (is_estimate_used())
        return estimated_tokens() <= max_short_output_tokens;
    return written_tokens_ + observed_->high_remaining_tokens <=
           max_short_output_tokens;
}

// A run that grows steadily holds half of its growth on average over the time
// until then. Counting all of it would leave memory unused, since some runs of
// a batch end meanwhile and free more than the others add.
std::uint64_t generation_size::growth_tokens() const noexcept
{
    if (!observed_)
        return std::clamp(
            remaining_tokens(), min_growth_tokens, max_growth_tokens);
    const std::uint64_t most =
        parameters_.max_output_tokens -
        std::min<std::uint64_t>(parameters_.max_output_tokens, written_tokens_);
    const std::uint64_t remaining = is_estimate_used()
                                        ? remaining_tokens()
                                        : observed_->high_remaining_tokens;
    const auto mean_growth = static_cast<std::uint64_t>(
        mean_growth_share * static_cast<double>(observed_->soon_tokens));
    return std::min({most, remaining, mean_growth});
}

placement::work_size generation_size::work() const noexcept
{
    placement::work_size work = migrated_work();
    if (written_tokens_ == 0)
        work.unread_tokens = parameters_.prompt_tokens;
    return work;
}

placement::work_size generation_size::migrated_work() const noexcept
{
    placement::work_size work;
    work.requests = 1;
    work.tokens = parameters_.prompt_tokens + written_tokens_ + growth_tokens();
    return work;
}

} // namespace godwit::admission
