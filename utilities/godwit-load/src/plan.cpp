#include <godwit/load/plan.hpp>

#include <godwit/core/random.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>

namespace godwit::load {

namespace {

constexpr double request_limit = 1'000'000;
constexpr std::uint64_t shortest_short = 3;
constexpr std::uint64_t short_spread = 20;

// Requests about the same place share the beginning of their prompt, which
// engines can cache.
constexpr std::uint64_t places = 40;

request_class draw_class(const request_mix& mix, core::random& draw)
{
    double rest = draw.unit();
    if ((rest -= mix.long_streams) < 0)
        return request_class::long_stream;
    if ((rest -= mix.short_wholes) < 0)
        return request_class::short_whole;
    if ((rest -= mix.confirmations) < 0)
        return request_class::confirmation;
    return request_class::booking;
}

std::uint64_t draw_long_length(const request_mix& mix, core::random& draw)
{
    const double tail = std::pow(1.0 - draw.unit(), -1.0 / mix.tail_exponent);
    return static_cast<std::uint64_t>(
        std::min(mix.shortest_long * tail, mix.longest_long));
}

std::string preamble(std::uint64_t place)
{
    constexpr int sentences = 6;
    std::string text = "Place " + std::to_string(place) + ".";
    for (int sentence = 0; sentence < sentences; ++sentence)
        text += " Keep old spellings, name the sources and give the years.";
    return text;
}

std::string
prompt_for(std::uint64_t number, std::uint64_t place, std::uint64_t length)
{
    return preamble(place) + " Request " + std::to_string(number) +
           " length=" + std::to_string(length);
}

void fill(
    planned_request& planned, const plan_settings& settings, core::random& draw)
{
    const std::uint64_t place = draw.below(places);
    const std::string unique =
        std::to_string(settings.seed) + "-" + std::to_string(planned.number);
    switch (planned.kind) {
    case request_class::long_stream:
        planned.max_tokens =
            static_cast<std::uint64_t>(settings.mix.longest_long);
        planned.text = prompt_for(
            planned.number, place, draw_long_length(settings.mix, draw));
        break;
    case request_class::short_whole:
        planned.max_tokens = shortest_short + short_spread;
        planned.text = prompt_for(
            planned.number, place, shortest_short + draw.below(short_spread));
        break;
    case request_class::confirmation:
        planned.text = "{\"confirm\":\"" + unique + "\"}";
        break;
    case request_class::booking:
        planned.text = "{\"book\":\"" + unique + "\"}";
        planned.key = "booking-" + settings.run + "-" + unique;
        break;
    }
}

} // namespace

core::result<std::vector<planned_request>>
make_plan(const plan_settings& settings)
{
    const std::chrono::duration<double> span = settings.span;
    const double expected = settings.requests_per_second * span.count();
    if (!(expected >= 0) || expected > request_limit)
        return core::fail(
            core::error_kind::exhausted,
            "the run would have more than a million requests",
            "lower the rate or the time");

    core::random draw(settings.seed);
    std::vector<planned_request> plan;
    plan.reserve(static_cast<std::size_t>(expected));
    std::chrono::duration<double> moment{0};
    while (true) {
        moment += std::chrono::duration<double>(
            -std::log(1.0 - draw.unit()) / settings.requests_per_second);
        if (moment >= span)
            break;
        planned_request next;
        next.at = std::chrono::duration_cast<core::duration>(moment);
        next.kind = draw_class(settings.mix, draw);
        next.number = plan.size();
        next.entry = draw.below(settings.entries);
        next.token = draw.below(settings.tokens);
        fill(next, settings, draw);
        plan.push_back(std::move(next));
    }
    return plan;
}

} // namespace godwit::load
