#pragma once

#include "testbed.hpp"

#include <cstddef>
#include <string>
#include <utility>

namespace godwit::platform_adapter::test {

/// Sends requests, each with an id of its own, to the entry host of a testbed
/// and counts those that its first server received.
class numbered_calls
{
public:
    numbered_calls(testbed& tested, std::string path)
        : tested_(tested), path_(std::move(path))
    {}

    http::response send()
    {
        tested_.set_attempt_id("a" + std::to_string(++number_));
        return tested_.call("POST", path_);
    }

    /// Sends requests until the first server has received one of them.
    void send_until_received()
    {
        const std::size_t before = received();
        testbed::wait_until("a request at the first server", [this, before] {
            (void)send();
            return received() > before;
        });
    }

    /// Returns how many requests the first server received.
    std::size_t received() { return tested_.first_server().count(path_); }

private:
    testbed& tested_;
    std::string path_;
    unsigned number_ = 0;
};

} // namespace godwit::platform_adapter::test
