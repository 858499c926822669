#pragma once

#include <godwit/core/outcome.hpp>
#include <godwit/wire/acceptor.hpp>
#include <godwit/wire/claim_answer.hpp>
#include <godwit/wire/claim_request.hpp>
#include <godwit/wire/message.hpp>

#include <boost/asio/io_context.hpp>

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace godwit::proxy::test {

/// An agent in this process that answers claims from memory, as the log
/// would decide: the first ask holds the key.
class scripted_agent
{
public:
    scripted_agent();
    ~scripted_agent();

    scripted_agent(const scripted_agent&) = delete;
    scripted_agent& operator=(const scripted_agent&) = delete;

    /// "IP:PORT".
    [[nodiscard]] const std::string& address() const { return address_; }

    /// From now on no claim can be had.
    void set_log_down(bool down);

    /// Sends to every proxy that is connected.
    void tell(wire::message value);

    /// Waits until that many proxies are connected.
    void wait_for_links(std::size_t count);

    /// Waits until a key was given back.
    void wait_for_release();

    /// Waits until the end of a run is known.
    void wait_for_end();

private:
    struct claim
    {
        wire::claim_request first;
        std::uint64_t offset = 0;
        bool ended = false;
        core::outcome outcome = core::outcome::unknown;
    };

    void on_message(
        const std::shared_ptr<wire::link>& link, const wire::message& value);
    wire::claim_answer answer_to(const wire::claim_request& question);
    template<class Condition>
    void wait_until(Condition holds);

    boost::asio::io_context context_{1};
    std::shared_ptr<wire::acceptor> acceptor_;
    std::string address_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, claim> claims_;
    std::uint64_t next_offset_ = 0;
    std::size_t links_ = 0;
    std::size_t releases_ = 0;
    std::size_t ends_ = 0;
    bool log_down_ = false;
    std::thread thread_;
};

} // namespace godwit::proxy::test
