#pragma once

#include "testbed.hpp"

#include <godwit/platform_adapter/platform_sources.hpp>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <thread>

namespace godwit::platform_adapter::test {

/// A second entry host, linked to the one of the testbed and with its sources.
class second_host
{
public:
    explicit second_host(testbed& first);
    ~second_host();

    second_host(const second_host&) = delete;
    second_host& operator=(const second_host&) = delete;

    [[nodiscard]] bool is_ready();

    /// Waits until both hosts know each other and serve.
    void wait_until_linked(testbed& first);

private:
    boost::asio::io_context context_{1};
    std::unique_ptr<entry::entry_process> process_;
    std::unique_ptr<platform_sources> sources_;
    std::thread thread_;
};

} // namespace godwit::platform_adapter::test
