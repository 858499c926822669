#include "sample_messages.hpp"

#include <godwit/wire/acceptor.hpp>
#include <godwit/wire/connector.hpp>
#include <godwit/wire/protocol.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace godwit;
using boost::asio::ip::tcp;

namespace {

const tcp::endpoint any_port(boost::asio::ip::address_v4::loopback(), 0);
constexpr auto wait_limit = std::chrono::seconds(20);

wire::hello make_hello(const std::string& host)
{
    wire::hello self;
    self.version = wire::protocol_version;
    self.role = wire::peer_role::agent;
    self.host = core::host_name(host);
    return self;
}

// An acceptor that echoes messages and records the events of its links, and a
// connector to it.
class link_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(link_test);
    CPPUNIT_TEST(test_messages_in_both_directions);
    CPPUNIT_TEST(test_a_broadcast_is_encoded_once);
    CPPUNIT_TEST(test_what_is_sent_is_counted_on_both_sides);
    CPPUNIT_TEST(test_connector_reconnects);
    CPPUNIT_TEST(test_bad_bytes_close_only_their_connection);
    CPPUNIT_TEST(test_different_protocol_version_is_refused);
    CPPUNIT_TEST(test_no_message_kind_that_the_peer_cannot_read_is_sent);
    CPPUNIT_TEST(test_link_to_slow_reader_is_closed_at_the_queue_limit);
    CPPUNIT_TEST(test_link_without_hello_is_closed);
    CPPUNIT_TEST(test_link_limit);
    CPPUNIT_TEST(test_hello_over_the_frame_limit_closes_the_link);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context context_;
    std::shared_ptr<wire::acceptor> acceptor_;
    std::shared_ptr<wire::connector> connector_;
    std::vector<wire::message> received_;
    std::vector<core::error> closed_;
    std::vector<std::shared_ptr<wire::link>> opened_;
    int client_opened_ = 0;
    std::size_t client_received_ = 0;
    std::map<std::string, std::size_t> sent_; ///< Bytes by kind.
    std::map<std::string, std::size_t> client_sent_;

    void listen(
        const wire::link_options& options = {},
        tcp::endpoint endpoint = any_port,
        std::size_t link_limit = wire::acceptor::default_link_limit)
    {
        wire::link_handlers handlers;
        handlers.on_open = [this](const auto& link, const auto&) {
            opened_.push_back(link);
        };
        handlers.on_message = [this](const auto& link, auto message) {
            link->send(message);
            received_.push_back(std::move(message));
        };
        handlers.on_close = [this](const auto&, const auto& reason) {
            closed_.push_back(reason);
        };
        handlers.on_sent = [this](const auto&, auto kind, auto bytes) {
            sent_[std::string(kind)] += bytes;
        };
        acceptor_ = wire::acceptor::create(
                        context_.get_executor(),
                        endpoint,
                        options,
                        [] { return make_hello("server"); },
                        handlers,
                        link_limit)
                        .value();
        acceptor_->start();
    }

    void connect()
    {
        wire::link_handlers handlers;
        handlers.on_open = [this](const auto&, const auto& peer) {
            CPPUNIT_ASSERT_EQUAL(core::host_name("server"), peer.host);
            ++client_opened_;
        };
        handlers.on_message = [this](const auto&, const auto&) {
            ++client_received_;
        };
        handlers.on_sent = [this](const auto&, auto kind, auto bytes) {
            client_sent_[std::string(kind)] += bytes;
        };
        connector_ = wire::connector::create(
                         context_.get_executor(),
                         acceptor_->endpoint(),
                         {},
                         [] { return make_hello("client"); },
                         handlers,
                         1)
                         .value();
        connector_->start();
    }

    template<class Condition>
    void wait_until(Condition condition)
    {
        const auto deadline = core::monotonic_now() + wait_limit;
        while (!condition()) {
            CPPUNIT_ASSERT(core::monotonic_now() < deadline);
            context_.restart();
            context_.run_one_for(wait_limit);
        }
    }

    tcp::socket raw_connection()
    {
        tcp::socket socket(context_);
        socket.connect(acceptor_->endpoint());
        return socket;
    }

    static void write(tcp::socket& socket, const std::string& bytes)
    {
        boost::asio::write(socket, boost::asio::buffer(bytes));
    }

    static std::string frame(const wire::message& value)
    {
        return wire::frame_encoder::create().value().encode(value).value();
    }

public:
    void tearDown() override
    {
        if (connector_)
            connector_->stop();
        if (acceptor_)
            acceptor_->stop();
        opened_.clear();
        context_.restart();
        context_.poll();
    }

private:
    void test_messages_in_both_directions()
    {
        listen();
        connect();
        wait_until([this] { return client_opened_ == 1; });
        auto samples = wire::sample_messages();
        // The link handles hello and heartbeat itself.
        samples.erase(samples.begin(), samples.begin() + 2);
        for (const auto& sample : samples)
            CPPUNIT_ASSERT(connector_->send(sample));
        wait_until([&] { return client_received_ == samples.size(); });
        CPPUNIT_ASSERT(received_ == samples);
        CPPUNIT_ASSERT_EQUAL(
            connector_->current()->counters().bytes_sent,
            opened_.front()->counters().bytes_received);
    }

    void test_a_broadcast_is_encoded_once()
    {
        listen();
        connect();
        wait_until([this] { return client_opened_ == 1; });
        const wire::message sample = wire::sample_messages().back();
        std::optional<core::result<std::string>> encoded;
        connector_->current()->send(sample, encoded);
        CPPUNIT_ASSERT_EQUAL(frame(sample), encoded->value());
        // A further link uses the frame as it is.
        encoded = frame(wire::sample_messages()[5]);
        connector_->current()->send(sample, encoded);
        wait_until([this] { return client_received_ == 2; });
        CPPUNIT_ASSERT(received_[0] == sample);
        CPPUNIT_ASSERT(received_[1] == wire::sample_messages()[5]);
    }

    // The acceptor echoes what the connector sends.
    void test_what_is_sent_is_counted_on_both_sides()
    {
        listen();
        connect();
        wait_until([this] { return client_opened_ == 1; });
        const wire::message sample = wire::sample_messages()[5];
        connector_->send(sample);
        wait_until([this] { return client_received_ == 1; });
        const std::string kind(wire::name_of(sample));
        CPPUNIT_ASSERT_EQUAL(frame(sample).size(), client_sent_[kind]);
        CPPUNIT_ASSERT_EQUAL(frame(sample).size(), sent_[kind]);
        CPPUNIT_ASSERT(client_sent_["hello"] > 0);
    }

    void test_connector_reconnects()
    {
        listen();
        connect();
        wait_until([this] { return client_opened_ == 1; });
        const auto endpoint = acceptor_->endpoint();
        acceptor_->stop();
        wait_until([this] { return connector_->failures() > 0; });
        listen({}, endpoint);
        wait_until([this] { return client_opened_ == 2; });
    }

    void test_bad_bytes_close_only_their_connection()
    {
        listen();
        connect();
        wait_until([this] { return client_opened_ == 1; });
        const std::vector<std::string> inputs{
            "GET / HTTP/1.1\r\n\r\n",
            std::string(4, '\0'),
            std::string("\x08\0\0\0garbage!", 12),
            frame(wire::pull{1}),
            frame(make_hello("twice")) + frame(make_hello("twice"))};
        for (const std::string& input : inputs) {
            const auto before = closed_.size();
            auto socket = raw_connection();
            write(socket, input);
            wait_until([&] { return closed_.size() > before; });
            CPPUNIT_ASSERT(closed_.back().kind() == core::error_kind::protocol);
        }
        CPPUNIT_ASSERT(connector_->send(wire::pull{2}));
        wait_until([this] { return client_received_ == 1; });
        CPPUNIT_ASSERT_EQUAL(inputs.size(), closed_.size());
    }

    void test_different_protocol_version_is_refused()
    {
        listen();
        auto socket = raw_connection();
        auto other = make_hello("other");
        other.version = wire::protocol_version + 1;
        write(socket, frame(other));
        wait_until([this] { return !closed_.empty(); });
        CPPUNIT_ASSERT(closed_.back().kind() == core::error_kind::protocol);
        CPPUNIT_ASSERT(opened_.empty());
    }

    void test_no_message_kind_that_the_peer_cannot_read_is_sent()
    {
        listen();
        auto socket = raw_connection();
        // A `hello` of an older release, without message_kinds.
        write(socket, frame(make_hello("older")));
        wait_until([this] { return !opened_.empty(); });
        const auto before = opened_.front()->counters().messages_sent;
        opened_.front()->send(wire::crash_reports{{}, {"0a"}});
        CPPUNIT_ASSERT_EQUAL(before, opened_.front()->counters().messages_sent);
        opened_.front()->send(wire::table_changes{});
        CPPUNIT_ASSERT_EQUAL(
            before + 1, opened_.front()->counters().messages_sent);
    }

    void test_link_to_slow_reader_is_closed_at_the_queue_limit()
    {
        wire::link_options options;
        options.send_queue_limit = std::size_t{64} * 1024;
        listen(options);
        auto socket = raw_connection();
        auto self = make_hello("slow");
        self.version = wire::protocol_version;
        write(socket, frame(self));
        wait_until([this] { return !opened_.empty(); });
        const wire::duty_message large{
            "x", 0, 0, std::string(std::size_t{16} * 1024, 'x')};
        // The kernel's buffers take some of the data; the queue limit stops
        // the rest.
        while (closed_.empty()) {
            opened_.front()->send(large);
            CPPUNIT_ASSERT(
                opened_.front()->queued() <= options.send_queue_limit);
            context_.restart();
            context_.poll();
        }
        CPPUNIT_ASSERT(closed_.back().kind() == core::error_kind::exhausted);
    }

    void test_link_without_hello_is_closed()
    {
        wire::link_options options;
        options.hello_timeout = std::chrono::milliseconds(20);
        listen(options);
        const auto silent = raw_connection();
        wait_until([this] { return !closed_.empty(); });
        CPPUNIT_ASSERT(closed_.back().kind() == core::error_kind::timeout);
    }

    void test_link_limit()
    {
        listen({}, any_port, 1);
        connect();
        wait_until([this] { return client_opened_ == 1; });
        const auto extra = raw_connection();
        wait_until([this] { return acceptor_->refused() == 1; });
        CPPUNIT_ASSERT(connector_->current());
    }

    // Guards against a use after free: the link closes during `start`, its
    // owner releases it, and `start` went on to read from it.
    void test_hello_over_the_frame_limit_closes_the_link()
    {
        listen();
        int closed = 0;
        wire::link_handlers handlers;
        handlers.on_close = [&closed](const auto&, const core::error& reason) {
            CPPUNIT_ASSERT(reason.kind() == core::error_kind::exhausted);
            ++closed;
        };
        wire::link_options options;
        options.frame_limit = 16;
        connector_ = wire::connector::create(
                         context_.get_executor(),
                         acceptor_->endpoint(),
                         options,
                         [] { return make_hello("client"); },
                         handlers,
                         1)
                         .value();
        connector_->start();
        wait_until([&closed] { return closed >= 2; });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(link_test);

} // namespace
