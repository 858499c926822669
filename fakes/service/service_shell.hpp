#pragma once

#include <godwit/fakes/effect_ledger.hpp>
#include <godwit/fakes/fault_switches.hpp>
#include <godwit/http/exchange.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <string>

namespace godwit::fakes {

/// Whether a service runs a key that it knows again.
enum class deduplication
{
    none,
    by_key, ///< It answers a known key with its first effect.
};

/// The stand-in plain service's HTTP side; one thread. Every request but a
/// GET has one effect.
class service_shell
{
public:
    service_shell(std::string service, deduplication rule);

    /// Serves one exchange.
    boost::asio::awaitable<void> handle(http::exchange& current);

private:
    boost::asio::awaitable<void> run(http::exchange& current);
    [[nodiscard]] std::string load_json() const;
    [[nodiscard]] std::string effects_json() const;

    std::string service_;
    deduplication rule_;
    effect_ledger ledger_;
    fault_switches faults_;
    std::size_t running_ = 0;
};

} // namespace godwit::fakes
