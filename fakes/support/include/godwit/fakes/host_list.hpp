#pragma once

#include <godwit/core/time.hpp>

#include <deque>
#include <map>
#include <string>

namespace godwit::fakes {

/// The platform's list of hosts, seen with a lag. What is known of a host
/// is kept as the JSON text that entered it.
class host_list
{
public:
    using hosts = std::map<std::string, std::string>;

    void
    put(const std::string& address, std::string json, core::time_point now);

    /// False when the host is not known.
    bool remove(const std::string& address, core::time_point now);

    /// The hosts by address as they were `lag` ago.
    [[nodiscard]] hosts view(core::time_point now, core::duration lag) const;

private:
    struct version
    {
        core::time_point since;
        hosts content;
    };

    void change(hosts content, core::time_point now);
    [[nodiscard]] hosts newest() const;

    // The oldest first. Versions older than the longest lag are dropped.
    std::deque<version> versions_;
};

} // namespace godwit::fakes
