#include "sighting_of.hpp"

namespace godwit::proxy {

membership::health_observation sighting_of(request::observation seen) noexcept
{
    switch (seen) {
    case request::observation::answered:
        return membership::health_observation::answered;
    case request::observation::refused:
        return membership::health_observation::refused;
    case request::observation::timed_out:
        return membership::health_observation::timed_out;
    case request::observation::broke:
    case request::observation::crossed:
        return membership::health_observation::failed;
    case request::observation::leaving:
        return membership::health_observation::leaving;
    }
    return membership::health_observation::answered;
}

} // namespace godwit::proxy
