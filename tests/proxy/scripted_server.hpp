#pragma once

#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace godwit::proxy::test {

/// A backend server in this process that does to each connection what a test
/// says, at the level of sockets. It answers `GET /load` by itself, as a
/// live engine of the model "lm".
class scripted_server
{
public:
    /// Deals with one request on a socket, which is closed afterwards.
    using script = std::function<void(int socket, const std::string& request)>;

    explicit scripted_server(script deal);
    ~scripted_server();

    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    /// "IP:PORT".
    [[nodiscard]] const std::string& address() const { return address_; }

    /// The requests that arrived whole, `/load` left out.
    [[nodiscard]] std::vector<std::string> requests() const;

private:
    void accept_all();
    void serve(int socket);

    script deal_;
    int listener_ = -1;
    std::string address_;
    mutable std::mutex mutex_;
    std::vector<std::string> requests_;
    std::vector<std::thread> connections_;
    std::thread thread_;
};

/// Writes to a socket; a closed one is no fault.
void write_text(int socket, const std::string& text);

/// The value of a header field in a request's text.
std::string field_of(const std::string& request, const std::string& name);

/// The generation id in a request's body.
std::string generation_of(const std::string& request);

/// The head of an engine's stream without framing: its end is the
/// connection's.
std::string stream_head(const std::string& generation);

/// One token event of a stand-in engine.
std::string
token_event(const std::string& generation, int offset, bool is_last = false);

} // namespace godwit::proxy::test
