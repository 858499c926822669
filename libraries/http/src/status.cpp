#include <godwit/http/status.hpp>

#include <boost/beast/http/status.hpp>

namespace godwit::http {

std::string_view reason_phrase(unsigned status) noexcept
{
    const auto phrase = boost::beast::http::obsolete_reason(
        boost::beast::http::int_to_status(status));
    return {phrase.data(), phrase.size()};
}

} // namespace godwit::http
