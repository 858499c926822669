#include <godwit/core/error.hpp>

#include <utility>

namespace godwit::core {

error::error(error_kind kind, std::string message, std::string remedy)
    : kind_(kind), message_(std::move(message)), remedy_(std::move(remedy))
{}

std::string error::to_string() const
{
    if (remedy_.empty())
        return message_;
    return message_ + "; " + remedy_;
}

} // namespace godwit::core
