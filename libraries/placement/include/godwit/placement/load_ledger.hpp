#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/placement/backend_server.hpp>
#include <godwit/placement/work_size.hpp>

#include <chrono>
#include <map>
#include <vector>

namespace godwit::placement {

/// The load of one backend server by the work of one host.
struct server_work
{
    server_id server;
    work_size work;

    friend bool operator==(const server_work&, const server_work&) = default;
};

/// What each backend server has to do: this host's own requests, exactly,
/// and what the neighbours last said of theirs.
class load_ledger
{
public:
    /// A neighbour's word counts this long. Longer silence means that it is
    /// cut off or dead, and its requests end.
    static constexpr core::duration word_lifetime = std::chrono::seconds(3);

    void add(const server_id& server, const work_size& work);
    void remove(const server_id& server, const work_size& work);

    /// Replaces what `host` said before.
    void neighbour_says(
        const core::host_name& host,
        const std::vector<server_work>& word,
        core::time_point now);

    /// Own and neighbours' work at the server.
    [[nodiscard]] work_size
    at(const server_id& server, core::time_point now) const;

    /// Own work alone, of every server that has some.
    [[nodiscard]] std::vector<server_work> own() const;

private:
    struct neighbour_word
    {
        std::map<server_id, work_size> work;
        core::time_point heard_at;
    };

    std::map<server_id, work_size> own_;
    std::map<core::host_name, neighbour_word> neighbours_;
};

} // namespace godwit::placement
