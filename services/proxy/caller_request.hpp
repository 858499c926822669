#pragma once

#include <godwit/catalogue/organisation.hpp>
#include <godwit/catalogue/service.hpp>
#include <godwit/claims/request_fingerprint.hpp>
#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/http/request.hpp>
#include <godwit/request/request_kind.hpp>
#include <godwit/request/resume_position.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace godwit::proxy {

/// A caller's request that was read, authorised and found sound.
struct caller_request
{
    std::shared_ptr<const catalogue::organisation> organisation;
    std::shared_ptr<const catalogue::service> service;
    core::request_class_name request_class;
    request::request_kind kind = request::request_kind::generation;
    request::answer_mode mode = request::answer_mode::whole;
    request::repeatability repeat = request::repeatability::repeatable;
    std::optional<core::idempotency_key> key;
    /// Tells another request under the same key from a retry of this one.
    claims::request_fingerprint fingerprint =
        claims::request_fingerprint::of("", "", "");
    /// From arrival; none where neither caller nor catalogue sets one.
    std::optional<core::duration> deadline;
    /// Set when the caller goes on with a stream.
    std::optional<request::resume_position> resume;
    /// Then: the proxy that started the generation; may be empty.
    std::string started_by;
    /// For a generation.
    std::string prompt;
    std::uint32_t max_tokens = 0;
    /// For a service call: what is passed on.
    http::request passed_on;
};

} // namespace godwit::proxy
