#include "scripted_server.hpp"

#include <array>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace godwit::proxy::test {

namespace {

constexpr const char* load_body =
    R"({"age_ms":0,"running":0,"waiting":0,"memory_tokens_used":0,)"
    R"("memory_tokens_capacity":100000,"models":["lm"],"version":"1",)"
    R"("state":"live"})";

std::string load_answer()
{
    const std::string body = load_body;
    return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string read_request(int socket)
{
    std::string text;
    std::array<char, 4096> buffer{};
    for (;;) {
        const auto head = text.find("\r\n\r\n");
        if (head != std::string::npos) {
            const std::string length = field_of(text, "Content-Length");
            const std::size_t body = length.empty() ? 0 : std::stoul(length);
            if (text.size() >= head + 4 + body)
                return text;
        }
        const auto count = ::read(socket, buffer.data(), buffer.size());
        if (count <= 0)
            return "";
        text.append(buffer.data(), static_cast<std::size_t>(count));
    }
}

} // namespace

scripted_server::scripted_server(script deal) : deal_(std::move(deal))
{
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in own{};
    own.sin_family = AF_INET;
    own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(own);
    auto* const generic = reinterpret_cast<sockaddr*>(&own);
    if (::bind(listener_, generic, size) != 0 || ::listen(listener_, 64) != 0 ||
        ::getsockname(listener_, generic, &size) != 0)
        throw std::runtime_error("the scripted server cannot listen");
    address_ = "127.0.0.1:" + std::to_string(ntohs(own.sin_port));
    thread_ = std::thread([this] { accept_all(); });
}

scripted_server::~scripted_server()
{
    ::shutdown(listener_, SHUT_RDWR);
    thread_.join();
    for (auto& connection : connections_)
        connection.join();
    ::close(listener_);
}

void scripted_server::accept_all()
{
    for (;;) {
        const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            return;
        connections_.emplace_back([this, socket] { serve(socket); });
    }
}

void scripted_server::serve(int socket)
{
    const std::string request = read_request(socket);
    if (request.starts_with("GET /load ")) {
        write_text(socket, load_answer());
    } else if (!request.empty()) {
        {
            const std::scoped_lock lock(mutex_);
            requests_.push_back(request);
        }
        deal_(socket, request);
    }
    ::close(socket);
}

std::vector<std::string> scripted_server::requests() const
{
    const std::scoped_lock lock(mutex_);
    return requests_;
}

void write_text(int socket, const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto count = ::send(
            socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return;
        sent += static_cast<std::size_t>(count);
    }
}

std::string field_of(const std::string& request, const std::string& name)
{
    const auto at = request.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return "";
    const auto begin = at + name.size() + 4;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

std::string generation_of(const std::string& request)
{
    const std::string mark = "\"generation_id\":\"";
    const auto at = request.find(mark);
    if (at == std::string::npos)
        return "";
    const auto begin = at + mark.size();
    return request.substr(begin, request.find('"', begin) - begin);
}

std::string stream_head(const std::string& generation)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
           "Connection: close\r\nGodwit-Generation-Id: " +
           generation + "\r\n\r\n";
}

std::string token_event(const std::string& generation, int offset, bool is_last)
{
    const std::string number = std::to_string(offset);
    return "id: " + number + "\ndata: {\"generation_id\":\"" + generation +
           "\",\"offset\":" + number + ",\"token\":\"t" + number +
           " \",\"finish_reason\":" + (is_last ? "\"stop\"" : "null") + "}\n\n";
}

} // namespace godwit::proxy::test
