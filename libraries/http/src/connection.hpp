#pragma once

#include "arriving_body.hpp"
#include "deadline.hpp"
#include "message_head.hpp"

#include <godwit/core/result.hpp>
#include <godwit/core/timer.hpp>
#include <godwit/http/exchange.hpp>
#include <godwit/http/rejection.hpp>
#include <godwit/http/socket_buffers.hpp>
#include <godwit/memory/client_account.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace godwit::http {

class server_state;

/// Whether a new connection is served.
enum class admission
{
    accepted,
    refused, ///< It is told that the server is full, and closed.
};

/// One caller's connection: reads requests one after another and runs the
/// handler for each. Everything but `start`, `close`, `close_if_idle` and
/// `stop_reading` happens on its strand.
class connection : public std::enable_shared_from_this<connection>
{
public:
    /// How much is read at once.
    static constexpr std::size_t read_size = std::size_t{8} * 1024;
    /// The kernel's buffers of each connection.
    static constexpr socket_buffers kernel_buffers{
        std::size_t{16} * 1024, std::size_t{64} * 1024};
    /// What a connection holds for as long as it is open: what the kernel may
    /// receive, and one read.
    static constexpr memory::amounts fixed_amounts{
        kernel_buffers.receive_bytes + read_size, 1};

    connection(
        boost::asio::ip::tcp::socket socket,
        std::shared_ptr<server_state> server,
        memory::client_account::holder held,
        admission verdict);
    ~connection();

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    void start();
    void close();
    void close_if_idle();
    /// Rejects the request that is being read, if there is one.
    void stop_reading();

    // What an exchange asks for.
    [[nodiscard]] const std::string& peer() const noexcept { return peer_; }

    [[nodiscard]] boost::asio::any_io_executor executor() const
    {
        return executor_;
    }

    void hold(memory::client_account::holder answer);
    boost::asio::awaitable<core::result<void>> respond(response answer);
    boost::asio::awaitable<core::result<void>>
    start_stream(unsigned status, header_fields fields);
    boost::asio::awaitable<core::result<void>> write_chunk(std::string data);
    boost::asio::awaitable<core::result<void>> finish_stream();

    void cut() noexcept;

    [[nodiscard]] bool is_answered() const noexcept
    {
        return phase_ != answer_phase::none;
    }

    [[nodiscard]] bool is_caller_gone() const noexcept { return caller_gone_; }

    [[nodiscard]] const std::string& gone_cause() const noexcept
    {
        return gone_cause_;
    }

    boost::asio::awaitable<void> wait_until_caller_gone();
    void on_caller_gone(std::function<void()> notify);

private:
    using request_parser = boost::beast::http::request_parser<arriving_body>;

    enum class answer_phase
    {
        none,
        streaming,
        finished,
    };

    boost::asio::awaitable<void> run_guarded();
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> wait_for_first_byte();
    boost::asio::awaitable<bool> wait_until_readable();
    [[nodiscard]] core::duration idle_patience() const;
    boost::asio::awaitable<std::optional<request>> read_request();
    boost::asio::awaitable<std::optional<rejection_reason>>
    read_whole(request_parser& parser);
    [[nodiscard]] request take_request(request_parser& parser);
    boost::asio::awaitable<std::optional<rejection_reason>>
    read_head(request_parser& parser);
    boost::asio::awaitable<std::optional<rejection_reason>>
    read_body(request_parser& parser);
    boost::asio::awaitable<boost::system::error_code>
    read_body_bytes(request_parser& parser);
    /// Waits for bytes and adds them to the buffer. Returns why none came.
    boost::asio::awaitable<boost::system::error_code> read_more();
    /// Takes memory for the next read and for a body with the bytes read.
    boost::asio::awaitable<bool> make_buffer_room();
    /// Takes memory for the fields of a head of so many bytes.
    boost::asio::awaitable<bool> make_head_room(std::size_t bytes);
    boost::asio::awaitable<bool> make_body_room(std::string& body);
    boost::asio::awaitable<void> reject(rejection_reason reason);
    boost::asio::awaitable<void> discard_rest();
    boost::asio::awaitable<void> serve(request received);
    boost::asio::awaitable<bool> run_handler(exchange& current);
    boost::asio::awaitable<void> watch_caller_guarded();
    boost::asio::awaitable<void> watch_caller();
    boost::asio::awaitable<void> stop_watching();
    boost::asio::awaitable<core::result<void>>
    write_all(std::string_view head, std::string_view body = {});
    boost::asio::awaitable<boost::system::error_code>
    write_slowly(std::string_view head, std::string_view body);
    void set_activity(memory::activity doing);
    /// Records that the caller took or sent `bytes`.
    void record_progress(std::size_t bytes);
    /// Gives back all but what the connection holds without a request.
    void release_request();
    /// What the buffer holds beyond one read if it grows to `capacity`.
    [[nodiscard]] static std::size_t buffer_excess(std::size_t capacity);
    [[nodiscard]] std::size_t next_read_size() const;
    [[nodiscard]] std::size_t next_buffer_capacity() const;
    [[nodiscard]] std::size_t unsent_bytes();
    /// Makes room for others, as the account has decided.
    void evict();
    [[nodiscard]] core::result<void> check_turn(answer_phase needed);
    [[nodiscard]] bool take_early_bytes();
    [[nodiscard]] bool has_unread_bytes() const;
    void close_unless_used_soon();
    void caller_left(const boost::system::error_code& cause);
    void reset_at_close(bool resets);
    void close_socket();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::any_io_executor executor_;
    std::shared_ptr<server_state> server_;
    admission verdict_;
    std::string peer_;
    boost::beast::flat_buffer buffer_;
    memory::client_account::holder held_;
    memory::activity doing_ = memory::activity::idle;
    core::time_point doing_since_{};
    std::size_t progress_ = 0;    ///< Bytes since `doing_since_`.
    std::size_t answer_held_ = 0; ///< Of `held_`, for the answer.
    bool is_evicted_ = false;
    bool is_idle_ = false;
    bool is_reading_ = false;
    bool is_reading_stopped_ = false;
    bool has_served_ = false;
    bool keeps_alive_ = true;
    bool takes_chunks_ = true;
    bool omits_body_ = false;
    answer_phase phase_ = answer_phase::none;
    bool caller_gone_ = false;
    std::string gone_cause_;
    bool is_cut_ = false;
    bool is_watching_ = false;
    bool watch_ended_ = true;
    // Both never expire; cancelling them wakes whoever waits.
    core::timer caller_gone_signal_;
    core::timer watch_ended_signal_;
    std::function<void()> notify_caller_gone_;
};

} // namespace godwit::http
