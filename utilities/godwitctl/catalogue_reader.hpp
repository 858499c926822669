#pragma once

#include "catalogue_log.hpp"
#include "decided_record.hpp"

#include <godwit/catalogue/follower.hpp>
#include <godwit/core/result.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace godwit::ctl {

/// Folds the log as every host does, so that the tool's verdict is theirs.
class catalogue_reader
{
public:
    [[nodiscard]] static core::result<catalogue_reader>
    create(const http::endpoint& platform);

    /// Reads to the log's end. Fails as the log does, and with `expired`
    /// when the log was trimmed and holds no checkpoint.
    [[nodiscard]] core::result<void> read_to_end();

    [[nodiscard]] const catalogue::state_pointer& content() const noexcept
    {
        return follower_.content();
    }

    /// What was decided in the records that were read, oldest first. Where
    /// a checkpoint was used, those before it are not among them.
    [[nodiscard]] const std::vector<decided_record>& decisions() const noexcept
    {
        return decisions_;
    }

    [[nodiscard]] catalogue_log& log() noexcept { return log_; }

private:
    catalogue_reader(catalogue_log log, catalogue::follower follower);

    void handle(
        const catalogue::follower_event& event,
        const std::vector<catalogue::record>& records);

    catalogue_log log_;
    catalogue::follower follower_;
    core::time_point now_{};
    std::optional<catalogue::read_log> wanted_;
    std::vector<decided_record> decisions_;
};

} // namespace godwit::ctl
