#pragma once

#include <godwit/entry/response_metadata.hpp>

#include <string>

namespace godwit::entry {

/// To which request a response belongs.
enum class response_owner
{
    awaiting, ///< The request that awaits a response.
    other,    ///< An earlier request on the connection.
    /// It is not known, and no further response may come.
    unknown,
};

/// What an exchange with a backend server knows about the response that it
/// awaits. A server may respond to a request twice, the second time where the
/// response to the next request is expected.
class awaited_response
{
public:
    /// Of a caller's request: the server repeats the id of the attempt.
    [[nodiscard]] static awaited_response to_attempt(std::string id);

    /// Of a question about the server itself, whose responses bear no id.
    [[nodiscard]] static awaited_response to_control_request();

    /// Returns whose response this is. `is_first` tells that it is the first
    /// one on its connection. `status` is that of the response.
    [[nodiscard]] response_owner owner_of(
        unsigned status,
        const response_metadata& response,
        bool is_first) const;

    /// The attempt's id; empty for a control request.
    [[nodiscard]] const std::string& attempt_id() const noexcept
    {
        return attempt_id_;
    }

    [[nodiscard]] bool is_control_request() const noexcept
    {
        return is_control_;
    }

    friend bool
    operator==(const awaited_response&, const awaited_response&) = default;

private:
    awaited_response(std::string attempt_id, bool is_control);

    std::string attempt_id_;
    bool is_control_ = false;
};

} // namespace godwit::entry
