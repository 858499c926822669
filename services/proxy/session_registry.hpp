#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/request/events.hpp>

#include <cstddef>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace godwit::proxy {

class request_session;

/// The requests in flight of this process, for what concerns several of
/// them. Safe from every thread.
class session_registry
{
public:
    /// At `limit` requests a further one is not taken.
    explicit session_registry(std::size_t limit);

    /// Whether the session was taken; it is not at the bound.
    [[nodiscard]] bool add(const std::shared_ptr<request_session>& session);

    void remove(const core::request_id& id);

    /// The session, or null.
    [[nodiscard]] std::shared_ptr<request_session>
    find(const core::request_id& id) const;

    /// All sessions at this moment.
    [[nodiscard]] std::vector<std::shared_ptr<request_session>> all() const;

    [[nodiscard]] std::size_t size() const;

    /// Tells every session.
    void broadcast(const request::event& what) const;

private:
    std::size_t limit_;
    mutable std::mutex mutex_;
    std::unordered_map<core::request_id, std::shared_ptr<request_session>>
        sessions_;
};

} // namespace godwit::proxy
