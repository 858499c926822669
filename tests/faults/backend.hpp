#pragma once

#include "history.hpp"
#include "virtual_clock.hpp"

#include <godwit/request/events.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace godwit::faults {

/// A connection from an entry host to a backend server.
struct link
{
    std::uint32_t number = 0;
    bool open = true;         ///< False once either side closed it.
    bool silent = false;      ///< What is sent on it is lost, unnoticed.
    bool answer_open = false; ///< A request's answer is not complete.
    /// Hands an event with its tokens to the entry host.
    std::function<void(request::event, std::vector<token>)> deliver;
};

using link_pointer = std::shared_ptr<link>;

/// A model engine or a plain service, with its faults.
class backend
{
public:
    backend(
        virtual_clock& clock,
        history& seen,
        std::size_t index,
        std::uint64_t seed)
        : clock_(&clock), seen_(&seen), index_(index), seed_(seed)
    {}

    void connect(const link_pointer& to);
    void start_generation(
        const link_pointer& to,
        const std::string& id,
        const std::string& try_id,
        const std::string& key);
    void call_service(
        const link_pointer& to,
        const std::string& try_id,
        const std::string& key);
    void
    resume(const link_pointer& to, const std::string& id, std::uint64_t from);

    void cancel(const std::string& id) { generations_.erase(id); }

    // Faults.
    void die(core::duration restart_after);
    void refuse(core::duration span);

    void stall(core::duration span) { stalled_until_ = clock_->now() + span; }

    void be_late(core::duration span) { late_until_ = clock_->now() + span; }

    void cross_answers(int count) { to_cross_ = count; }

    void preempt(core::duration span);

    void leave() { leaving_ = true; }

    [[nodiscard]] bool alive() const { return alive_; }

    [[nodiscard]] bool leaving() const { return leaving_; }

private:
    struct generation
    {
        std::uint64_t produced = 0;
        std::uint64_t sent = 0;
        core::time_point paused_until{};
        link_pointer reader;
    };

    [[nodiscard]] bool declines(const link_pointer& to);
    void note_run(const std::string& try_id, const std::string& key);
    void produce(const std::string& id);
    void push(const std::string& id);
    void send_head(const link_pointer& to, const std::string& echo);
    void send(
        const link_pointer& to,
        request::event what,
        std::vector<token> content = {},
        core::duration extra = {});

    virtual_clock* clock_;
    history* seen_;
    std::size_t index_;
    std::uint64_t seed_;
    bool alive_ = true;
    bool leaving_ = false;
    int lives_ = 0;
    int to_cross_ = 0;
    core::time_point refusing_until_{};
    core::time_point stalled_until_{};
    core::time_point late_until_{};
    std::map<std::string, generation> generations_;
    std::vector<std::weak_ptr<link>> links_;
};

} // namespace godwit::faults
