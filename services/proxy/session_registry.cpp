#include "session_registry.hpp"

#include "request_session.hpp"

namespace godwit::proxy {

session_registry::session_registry(std::size_t limit) : limit_(limit) {}

bool session_registry::add(const std::shared_ptr<request_session>& session)
{
    const std::scoped_lock lock(mutex_);
    if (sessions_.size() >= limit_)
        return false;
    sessions_.emplace(session->id(), session);
    return true;
}

void session_registry::remove(const core::request_id& id)
{
    // The session may hold the last reference to things that take locks of
    // their own, so it ends outside of this one.
    std::shared_ptr<request_session> removed;
    const std::scoped_lock lock(mutex_);
    const auto found = sessions_.find(id);
    if (found == sessions_.end())
        return;
    removed = std::move(found->second);
    sessions_.erase(found);
}

std::shared_ptr<request_session>
session_registry::find(const core::request_id& id) const
{
    const std::scoped_lock lock(mutex_);
    const auto found = sessions_.find(id);
    return found == sessions_.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<request_session>> session_registry::all() const
{
    const std::scoped_lock lock(mutex_);
    std::vector<std::shared_ptr<request_session>> found;
    found.reserve(sessions_.size());
    for (const auto& [id, session] : sessions_)
        found.push_back(session);
    return found;
}

std::size_t session_registry::size() const
{
    const std::scoped_lock lock(mutex_);
    return sessions_.size();
}

void session_registry::broadcast(const request::event& what) const
{
    for (const auto& session : all())
        session->post(what);
}

} // namespace godwit::proxy
