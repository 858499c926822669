#include <godwit/request/step.hpp>

namespace godwit::request {

std::string_view to_string(step value) noexcept
{
    switch (value) {
    case step::accepted:
        return "accepted";
    case step::claimed:
        return "claimed";
    case step::queued:
        return "queued";
    case step::connecting:
        return "connecting";
    case step::sent:
        return "sent";
    case step::first_token:
        return "first_token";
    case step::mid_stream:
        return "mid_stream";
    case step::last_token:
        return "last_token";
    case step::finishing:
        return "finishing";
    case step::resuming:
        return "resuming";
    case step::finished:
        return "finished";
    }
    return "finished";
}

} // namespace godwit::request
