#include <godwit/admission/length_estimator.hpp>

#include <godwit/admission/generation_size.hpp>

#include <cmath>

namespace godwit::admission {

namespace {

// How long a calculated total is used. Each event of each stream needs it, and
// the weights change by less than a hundredth in this time.
constexpr core::duration total_lifetime = std::chrono::milliseconds(100);
constexpr double median = 0.5;
constexpr double high_quantile = 0.9;
constexpr double negligible_weight = 0.01;

double decay(core::duration age)
{
    if (age <= core::duration::zero())
        return 1;
    return std::exp2(
        -static_cast<double>(age.count()) /
        static_cast<double>(length_estimator::half_life.count()));
}

double distance(std::uint64_t one, std::uint64_t other)
{
    return std::abs(static_cast<double>(one) - static_cast<double>(other));
}

} // namespace

length_sums length_estimator::dated_sums::at(core::time_point now) const
{
    length_sums decayed = sums;
    decayed.scale(decay(now - as_of));
    return decayed;
}

void length_estimator::dated_sums::advance(core::time_point now)
{
    sums.scale(decay(now - as_of));
    as_of = now;
}

void length_estimator::record_growth(
    std::uint64_t from, std::uint64_t to, core::time_point now)
{
    if (length_sums::bucket_of(from) >= length_sums::bucket_of(to))
        return;
    own_.advance(now);
    own_.sums.record_growth(from, to);
}

void length_estimator::record_end(
    const generation_parameters& parameters,
    std::uint64_t tokens,
    core::time_point now)
{
    own_.advance(now);
    const auto expected = total(now).remaining(0, median);
    if (parameters.expected_output_tokens && expected) {
        const auto estimated =
            generation_size::create(parameters, 0).expected_output_tokens();
        own_.sums.record_errors(
            distance(estimated, tokens), distance(*expected, tokens));
    }
    own_.sums.record_end(tokens);
}

void length_estimator::update_from_neighbour(
    const core::host_name& host, const length_sums& sums, core::time_point now)
{
    const bool has_room =
        neighbours_.size() < max_neighbours || neighbours_.contains(host);
    if (has_room)
        neighbours_.insert_or_assign(host, dated_sums{sums, now});
    std::erase_if(neighbours_, [now](const auto& each) {
        return each.second.at(now).observations() < negligible_weight;
    });
    total_.reset();
}

length_sums length_estimator::own(core::time_point now) const
{
    return own_.at(now);
}

const length_sums& length_estimator::total(core::time_point now) const
{
    if (total_ && now - total_->as_of < total_lifetime)
        return total_->sums;
    length_sums sums = own_.at(now);
    for (const auto& [host, reported] : neighbours_)
        sums += reported.at(now);
    total_ = dated_sums{sums, now};
    return total_->sums;
}

std::optional<observed_lengths> length_estimator::observe(
    std::uint64_t written_tokens,
    std::uint64_t soon_tokens,
    core::time_point now) const
{
    const length_sums& sums = total(now);
    const auto middle = sums.remaining(written_tokens, median);
    const auto high = sums.remaining(written_tokens, high_quantile);
    if (!middle || !high)
        return std::nullopt;
    return observed_lengths{
        *middle, *high, soon_tokens, sums.are_estimates_better()};
}

bool length_estimator::is_forgotten(core::time_point now) const
{
    return total(now).observations() < negligible_weight;
}

} // namespace godwit::admission
