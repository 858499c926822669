#include <godwit/load/outside_view.hpp>

#include <godwit/http/fetch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>

#include <charconv>
#include <utility>

namespace godwit::load {

namespace json = boost::json;

namespace {

core::result<std::string>
get(const http::endpoint& server, const std::string& target)
{
    boost::asio::io_context context(1);
    http::request outgoing;
    outgoing.target = target;
    http::fetch_limits limits;
    limits.body_bytes = std::size_t{64} * 1024 * 1024;
    auto pending = boost::asio::co_spawn(
        context,
        http::fetch(server, std::move(outgoing), limits),
        boost::asio::use_future);
    context.run();
    const http::client_result<http::response> answer = pending.get();
    if (!answer)
        return tl::unexpected(answer.error().cause);
    if (answer->status != 200)
        return core::fail(
            core::error_kind::protocol,
            server.to_string() + target + " answered " +
                std::to_string(answer->status),
            "check the address");
    return answer->body;
}

core::result<json::object>
get_object(const http::endpoint& server, const std::string& target)
{
    const std::string body = GODWIT_TRY(get(server, target));
    boost::system::error_code failure;
    json::value parsed = json::parse(body, failure);
    if (failure || !parsed.is_object())
        return core::fail(
            core::error_kind::protocol,
            server.to_string() + target + " is not a JSON object",
            "check the address");
    return std::move(parsed.get_object());
}

} // namespace

core::result<std::uint64_t>
engine_preemptions(const std::vector<http::endpoint>& engines)
{
    std::uint64_t sum = 0;
    for (const http::endpoint& engine : engines) {
        const json::object load = GODWIT_TRY(get_object(engine, "/load"));
        const json::value* const count = load.if_contains("preemptions");
        if (count != nullptr && count->is_int64())
            sum += static_cast<std::uint64_t>(count->get_int64());
    }
    return sum;
}

core::result<std::uint64_t>
proxy_preemptions(const std::vector<http::endpoint>& operators)
{
    double sum = 0;
    for (const http::endpoint& address : operators) {
        const std::string metrics = GODWIT_TRY(get(address, "/metrics"));
        sum += sum_counter(metrics, "godwit_preemptions_total");
    }
    return static_cast<std::uint64_t>(sum);
}

double sum_counter(std::string_view metrics, std::string_view name)
{
    double sum = 0;
    while (!metrics.empty()) {
        const auto line_end = metrics.find('\n');
        const std::string_view line = metrics.substr(0, line_end);
        metrics.remove_prefix(
            line_end == std::string_view::npos ? metrics.size() : line_end + 1);
        if (!line.starts_with(name) || line.size() == name.size())
            continue;
        const char next = line[name.size()];
        const auto space = line.rfind(' ');
        if ((next != '{' && next != ' ') || space == std::string_view::npos)
            continue;
        double value = 0;
        std::from_chars(
            line.data() + space + 1, line.data() + line.size(), value);
        sum += value;
    }
    return sum;
}

core::result<effect_counts>
service_effects(const std::vector<http::endpoint>& services)
{
    effect_counts counts;
    for (const http::endpoint& service : services) {
        const json::object effects =
            GODWIT_TRY(get_object(service, "/effects"));
        const json::value* const by_key = effects.if_contains("by_key");
        if (by_key == nullptr || !by_key->is_object())
            continue;
        for (const auto& [key, count] : by_key->get_object()) {
            if (count.is_int64())
                counts[std::string(key)] +=
                    static_cast<std::uint64_t>(count.get_int64());
        }
    }
    return counts;
}

} // namespace godwit::load
