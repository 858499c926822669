#pragma once

#include <string>

namespace godwit::proxy::test {

/// A caller at the level of bytes. A wait of more than thirty seconds
/// throws.
class raw_caller
{
public:
    /// Connects to "http://IP:PORT". A small `receive_bytes` makes a caller
    /// whose connection fills soon.
    explicit raw_caller(const std::string& url, int receive_bytes = 0);
    ~raw_caller();

    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;

    void send(const std::string& bytes) const;

    /// Ends the sending half of the connection.
    void finish_sending() const;

    /// Everything up to the end of the connection.
    [[nodiscard]] std::string read_all() const;

private:
    int socket_;
};

} // namespace godwit::proxy::test
