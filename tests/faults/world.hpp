#pragma once

#include "backend.hpp"
#include "cell.hpp"
#include "entry_host.hpp"
#include "fake_log.hpp"
#include "history.hpp"
#include "virtual_clock.hpp"

#include <godwit/request/life.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace godwit::faults {

/// Two entry hosts, three backend servers, a log, a host list, and one
/// caller with its retries, in virtual time. Small on purpose.
class world
{
public:
    explicit world(cell what);

    /// Runs the cell to its end.
    [[nodiscard]] history run();

    /// Called for each event of a request with what was decided.
    std::function<void(
        std::size_t host,
        const session& one,
        const request::event& what,
        const std::vector<request::action>& decided)>
        on_decided;

    // For the entry hosts.
    virtual_clock clock;
    history seen;
    fake_log log{clock};
    std::vector<backend> servers;
    std::array<std::shared_ptr<entry_host>, 2> hosts;
    core::time_point cut_until{};

    [[nodiscard]] const cell& what() const { return cell_; }

    void reached(std::size_t number, request::step at);
    void reached(moment at);
    void give_tokens(
        std::size_t number,
        std::vector<token> content,
        request::resume_position next);
    void end_try(std::size_t number, std::function<void(caller_try&)> how);
    [[nodiscard]] std::vector<membership::listed_server> host_list();
    [[nodiscard]] bool cut_off(std::size_t host) const;
    [[nodiscard]] std::shared_ptr<entry_host>
    host_of(const std::string& incarnation) const;

private:
    /// A caller with a request of its own.
    struct caller
    {
        std::string key;
        int tries = 0;
        int open = 0;
        bool done = false;
    };

    void start_try(
        std::size_t who,
        std::size_t host,
        std::optional<std::size_t> continues = std::nullopt);
    void leave(std::size_t number);
    void react(std::size_t number);
    void inject(fault what);
    void kill_host();
    void start_other_callers();
    [[nodiscard]] request::accepted request_of(std::size_t who) const;
    [[nodiscard]] bool all_done() const;

    cell cell_;
    std::vector<caller> callers_;
    std::vector<std::size_t> caller_of_;
    std::vector<request::resume_position> next_;
    std::vector<std::optional<core::time_point>> left_at_;
    core::time_point list_frozen_until_{};
    std::uint64_t incarnations_ = 0;
    bool cut_for_resuming_ = false;
};

} // namespace godwit::faults
