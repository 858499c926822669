#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace godwit::entry {

/// A neighbour to ask for the route table, and the version that it announced.
struct table_question
{
    core::host_name neighbour;
    std::uint64_t version = 0;
    bool whole = false; ///< Not only what changed since the own version.

    friend bool
    operator==(const table_question&, const table_question&) = default;
};

/// Decides which neighbour is asked for a version of the route table that
/// others have and this host lacks, and when. One is asked at a time, so that
/// a large table comes over the host's link once; one that does not answer is
/// not waited for.
class table_inquiry
{
public:
    /// How long the source may take to bring a version that neighbours have.
    static constexpr core::duration patience = std::chrono::milliseconds(250);
    /// How long the first neighbour may take for its answer; each further one
    /// has twice as long as the one before.
    static constexpr core::duration answer_limit = std::chrono::seconds(1);

    explicit table_inquiry(core::host_name self) : self_(std::move(self)) {}

    /// The neighbour has this version in force.
    void announced(
        const core::host_name& neighbour,
        std::uint64_t version,
        core::time_point now);

    /// This host has this version in force.
    void in_force(std::uint64_t version);

    /// The neighbour answered. If that brought no newer version, another one
    /// is asked after a pause.
    void answered(const core::host_name& neighbour, core::time_point now);

    /// What the neighbour said to have changed cannot be: the whole table is
    /// asked for until a newer version is in force.
    void changes_were_false() { asks_whole_ = true; }

    /// There is no link to the neighbour any more.
    void lost(const core::host_name& neighbour);

    /// Whether a neighbour has a newer version than this host.
    [[nodiscard]] bool lacks_version() const noexcept
    {
        return !announced_.empty();
    }

    /// Whom to ask now; it counts as asked.
    [[nodiscard]] std::optional<table_question> next(core::time_point now);

private:
    struct announcement
    {
        std::uint64_t version = 0;
        core::time_point heard_at{};
        unsigned questions = 0; ///< Without a newer version in force since.
    };

    using announcements = std::map<core::host_name, announcement>;

    [[nodiscard]] bool is_patient(core::time_point now) const;
    [[nodiscard]] announcements::iterator choose();

    core::host_name self_;
    std::uint64_t version_ = 0;
    announcements announced_; ///< Of versions that are newer than our own.
    std::optional<core::host_name> asked_;
    core::time_point ask_again_at_{};
    unsigned questions_in_a_row_ = 0;
    bool asks_whole_ = false;
};

} // namespace godwit::entry
