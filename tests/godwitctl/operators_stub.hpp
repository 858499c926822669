#pragma once

#include <godwit/http/server.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace godwit::ctl::test {

/// Stands in for the operators' address of an agent.
class operators_stub
{
public:
    operators_stub();
    ~operators_stub();

    operators_stub(const operators_stub&) = delete;
    operators_stub& operator=(const operators_stub&) = delete;

    [[nodiscard]] std::string url() const;

    /// The offset in force; it grows by one with each question.
    std::atomic<std::uint64_t> in_force{0};

private:
    [[nodiscard]] http::response answer(const std::string& target);

    boost::asio::io_context context_;
    std::unique_ptr<http::server> server_;
    std::thread thread_;
};

} // namespace godwit::ctl::test
