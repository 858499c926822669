#include <godwit/http/shared_body.hpp>

#include <utility>

namespace godwit::http {

shared_body::shared_body(std::string text)
{
    if (!text.empty())
        text_ = std::make_shared<const std::string>(std::move(text));
}

shared_body::shared_body(const char* text) : shared_body(std::string(text)) {}

const std::string& shared_body::text() const noexcept
{
    static const std::string none;
    return text_ ? *text_ : none;
}

} // namespace godwit::http
