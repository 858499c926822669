#include "sighting_of.hpp"

namespace godwit::proxy {

membership::sighting sighting_of(request::observation seen) noexcept
{
    switch (seen) {
    case request::observation::answered:
        return membership::sighting::answered;
    case request::observation::refused:
        return membership::sighting::refused;
    case request::observation::timed_out:
        return membership::sighting::timed_out;
    case request::observation::broke:
    case request::observation::crossed:
        return membership::sighting::failed;
    case request::observation::leaving:
        return membership::sighting::leaving;
    }
    return membership::sighting::answered;
}

} // namespace godwit::proxy
