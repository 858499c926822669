#include "publisher.hpp"

#include <godwit/catalogue/codec.hpp>
#include <godwit/catalogue/fold.hpp>

#include <algorithm>
#include <thread>
#include <utility>

namespace godwit::ctl {

namespace {

using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds shortest_pause(100);
constexpr std::chrono::milliseconds longest_pause(2000);

core::error not_published(const core::error& cause)
{
    return {
        cause.kind(),
        "the log cannot be used: " + cause.message(),
        "run the same command again later; the change id keeps it from "
        "acting twice"};
}

// Waits, unless the deadline comes first.
bool pause(std::chrono::microseconds span, clock::time_point deadline)
{
    if (clock::now() + span >= deadline)
        return false;
    std::this_thread::sleep_for(span);
    return true;
}

} // namespace

publisher::publisher(catalogue_reader reader, std::string data)
    : reader_(std::move(reader)), data_(std::move(data))
{}

core::result<publisher> publisher::create(
    const http::endpoint& platform, const catalogue::change_set& changes)
{
    auto data = GODWIT_TRY(catalogue::serialise_record(changes));
    auto reader = GODWIT_TRY(catalogue_reader::create(platform));
    return publisher(std::move(reader), std::move(data));
}

core::result<catalogue::verdict> publisher::publish(clock::time_point deadline)
{
    std::chrono::microseconds wait = shortest_pause;
    for (;;) {
        std::chrono::microseconds least{0};
        core::error cause(core::error_kind::timeout, "", "");
        if (auto read = reader_.read_to_end(); !read) {
            if (read.error().kind() == core::error_kind::expired)
                return tl::unexpected(std::move(read).error());
            cause = read.error();
        } else {
            auto decision = try_now();
            if (decision.kind == catalogue::verdict_kind::repeated)
                return first_verdict(decision);
            if (decision.refused)
                return decision;
            const auto appended = reader_.log().append(data_);
            if (appended) {
                wait = shortest_pause;
                continue; // The log now tells the verdict.
            }
            cause = appended.error().cause;
            least = appended.error().retry_after;
            if (appended.error().kind ==
                platform::append_failure_kind::rejected)
                return tl::unexpected(not_published(cause));
        }
        if (!pause(std::max(wait, least), deadline))
            return tl::unexpected(not_published(cause));
        wait = std::min<std::chrono::microseconds>(2 * wait, longest_pause);
    }
}

catalogue::verdict publisher::try_now() const
{
    const auto& content = reader_.content();
    return catalogue::fold(content, {content->next_offset(), 0, data_})
        .decision;
}

catalogue::verdict
publisher::first_verdict(const catalogue::verdict& repeated) const
{
    for (const decided_record& each : reader_.decisions()) {
        if (each.decision.offset == repeated.first_offset)
            return each.decision;
    }
    // Older than what the log still holds; only the outcome is kept.
    catalogue::verdict first = repeated;
    first.offset = repeated.first_offset;
    first.kind = repeated.first_accepted ? catalogue::verdict_kind::accepted
                                         : catalogue::verdict_kind::refused;
    if (!repeated.first_accepted) {
        first.refused = catalogue::refusal{
            catalogue::refusal_reason::conflict,
            core::error(
                core::error_kind::conflict,
                "this change id was refused at offset " +
                    std::to_string(repeated.first_offset),
                "publish under a new change id"),
            std::nullopt};
    }
    return first;
}

} // namespace godwit::ctl
