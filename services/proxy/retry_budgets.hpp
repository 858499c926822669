#pragma once

#include <godwit/catalogue/service.hpp>
#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/request/retry_budget.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>

namespace godwit::proxy {

/// A retry budget and the lock under which the lives that share it run.
struct shared_budget
{
    explicit shared_budget(request::retry_budget held);

    std::mutex mutex;
    request::retry_budget budget;
};

/// The retry budgets of all services.
/// Bounded by the services of the catalogue, whose number is.
class retry_budgets
{
public:
    /// The budget of `service`, made at its first request and made again
    /// when the catalogue gives it another share.
    std::shared_ptr<shared_budget>
    find_or_add(const catalogue::service& service, core::time_point now);

private:
    struct entry
    {
        std::uint32_t percent = 0;
        std::shared_ptr<shared_budget> shared;
    };

    std::mutex mutex_;
    std::map<core::service_name, entry> entries_;
};

} // namespace godwit::proxy
