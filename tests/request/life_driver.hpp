#pragma once

#include <godwit/request/life.hpp>

#include <stdexcept>
#include <variant>
#include <vector>

namespace godwit::request::test {

/// Drives one `life` in virtual time and keeps what it asked for.
class life_driver
{
public:
    explicit life_driver(double budget = 10, const life_settings& settings = {})
        : budget_(retry_budget::create({0.1, budget, 100}, core::time_point())
                      .value()),
          life_(
              life::create(settings, core::request_id("r"), budget_, 1).value())
    {}

    life_driver(const life_driver&) = delete;
    life_driver& operator=(const life_driver&) = delete;

    /// Feeds one event and returns the actions of this event.
    const std::vector<action>& feed(const event& what)
    {
        latest_ = life_.handle(what, now_);
        all_.insert(all_.end(), latest_.begin(), latest_.end());
        return latest_;
    }

    /// Lets time pass and fires `which`.
    void fire(timer which, core::duration after)
    {
        now_ += after;
        feed(timer_fired{which});
    }

    /// Grants, connects and sends.
    void start()
    {
        feed(granted{last<ask_dispatch>().ask, server("e1"), 0});
        send();
    }

    /// Connects and hands the first byte over.
    void send()
    {
        feed(connected{connection()});
        feed(first_byte_handed_over{connection()});
        feed(request_sent{connection()});
    }

    void head(int status = 200)
    {
        feed(answer_head{
            connection(),
            status,
            last<send_request>().generation.value(),
            start_state::not_said});
    }

    void tokens(
        std::uint64_t offset,
        std::uint64_t count,
        token_finish finish = token_finish::more)
    {
        feed(tokens_arrived{
            connection(),
            last<send_request>().generation,
            offset,
            count,
            finish});
    }

    /// The latest action of a type, from the whole history.
    template<class Action>
    const Action& last() const
    {
        for (auto one = all_.rbegin(); one != all_.rend(); ++one) {
            if (const auto* found = std::get_if<Action>(&*one))
                return *found;
        }
        throw std::logic_error("no action of that type");
    }

    template<class Action>
    [[nodiscard]] int count() const
    {
        int found = 0;
        for (const auto& one : all_)
            found += std::holds_alternative<Action>(one) ? 1 : 0;
        return found;
    }

    [[nodiscard]] std::uint32_t connection() const
    {
        return last<connect_to>().connection;
    }

    static core::server_address server(const char* name)
    {
        return core::server_address(name);
    }

    [[nodiscard]] const life& subject() const { return life_; }

    [[nodiscard]] core::time_point now() const { return now_; }

private:
    retry_budget budget_;
    life life_;
    core::time_point now_{};
    std::vector<action> latest_;
    std::vector<action> all_;
};

} // namespace godwit::request::test
