#pragma once

#include <godwit/fakes/generation_view.hpp>
#include <godwit/http/exchange.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace godwit::fakes {

/// Writes a generation to one reader as server-sent events.
class token_writer
{
public:
    token_writer(http::exchange& current, std::string id, std::uint64_t from)
        : current_(current), id_(std::move(id)), next_(from)
    {}

    /// Sends the head. False when the reader is gone.
    boost::asio::awaitable<bool> begin();

    /// Sends what is new; with a limit, no more than that many tokens in
    /// all. False when the stream is over or the reader gone.
    boost::asio::awaitable<bool>
    write(const generation_view& view, std::uint64_t limit);

    /// How many tokens went to this reader.
    [[nodiscard]] std::uint64_t written() const noexcept { return written_; }

private:
    [[nodiscard]] std::string
    token_event(const generation_view& view, std::uint64_t offset) const;
    [[nodiscard]] std::string preempted_event(std::uint64_t count) const;

    http::exchange& current_;
    std::string id_;
    std::uint64_t next_;
    std::uint64_t written_ = 0;
    std::uint64_t preemptions_ = 0;
};

} // namespace godwit::fakes
