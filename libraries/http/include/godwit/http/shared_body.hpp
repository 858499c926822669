#pragma once

#include <cstddef>
#include <memory>
#include <string>

namespace godwit::http {

/// The body of a request. It does not change, and copies share its bytes, so
/// that each further attempt of a request costs no memory.
class shared_body
{
public:
    shared_body() noexcept = default;
    shared_body(std::string text);
    shared_body(const char* text);

    [[nodiscard]] const std::string& text() const noexcept;

    operator const std::string&() const noexcept { return text(); }

    [[nodiscard]] std::size_t size() const noexcept { return text().size(); }

    [[nodiscard]] bool empty() const noexcept { return text().empty(); }

    friend bool
    operator==(const shared_body& left, const shared_body& right) noexcept
    {
        return left.text() == right.text();
    }

private:
    std::shared_ptr<const std::string> text_; ///< Null if it is empty.
};

} // namespace godwit::http
