#include "fleet.hpp"

#include "caller.hpp"

#include <godwit/fakes/generation_text.hpp>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <unistd.h>

namespace godwit::proxy::test {

namespace json = boost::json;

namespace {

// SHA-256 of "survey-token" and "clerks-token".
constexpr const char* survey_hash =
    "c3397f6f517c2e173dc8d8f93739271dc8476d100dc8a998e7d46ee355629923";
constexpr const char* clerks_hash =
    "0ba59dd0a8b952b862276e5e7b924ab2d26ddc26f3eb60408164b17ca38aa557";

std::string prompt_of(int tokens)
{
    return "history of a hamlet length=" + std::to_string(tokens);
}

json::object entry(const std::string& key, json::object value)
{
    return {{"entry", key}, {"value", std::move(value)}};
}

json::object organisation(const std::string& name, const char* hash)
{
    return entry(
        "organisation/" + name,
        {{"class", "interactive"},
         {"token_hashes", json::array{hash}},
         {"limits",
          json::object{{"concurrency", 100}, {"tokens_per_second", 100000}}}});
}

json::object service(const std::string& name, json::object more)
{
    json::object limits{
        {"queue_bound", 100},
        {"default_deadline_ms", 60000},
        {"maximum_deadline_ms", 120000},
        {"maximum_body_bytes", 10000}};
    if (more.contains("model"))
        limits["maximum_tokens"] = 100000;
    json::object value{
        {"class", "interactive"},
        {"retry_budget_percent", 100},
        {"limits", std::move(limits)}};
    for (auto& [key, member] : more)
        value[key] = std::move(member);
    return entry("service/" + name, std::move(value));
}

json::object catalogue()
{
    return {
        {"change_id", "first"},
        {"operator", "ana"},
        {"changes",
         json::array{
             entry("class/interactive", {{"weight", 1}}),
             organisation("survey", survey_hash),
             organisation("clerks", clerks_hash),
             service(
                 "gazetteer",
                 {{"kind", "engine_pool"},
                  {"model", "lm"},
                  {"model_version", "1"}}),
             service("register", {{"kind", "plain"}}),
             service("ledger", {{"kind", "plain"}, {"deduplicates", true}})}}};
}

std::string without_scheme(const std::string& url)
{
    return url.substr(url.find("//") + 2);
}

} // namespace

std::unique_ptr<backend> backend::engine(std::vector<std::string> options)
{
    std::vector<std::string> arguments{"--service", "lm", "--load-lag-ms", "0"};
    arguments.insert(arguments.end(), options.begin(), options.end());
    return std::unique_ptr<backend>(new backend(
        "godwit-fake-engine", std::move(arguments), "engine", "gazetteer"));
}

std::unique_ptr<backend>
backend::plain(const std::string& service, bool deduplicates)
{
    return std::unique_ptr<backend>(new backend(
        "godwit-fake-service",
        {"--service", service, "--deduplicates", deduplicates ? "yes" : "no"},
        "service",
        service));
}

backend::backend(
    const std::string& program,
    std::vector<std::string> arguments,
    const std::string& key,
    std::string service)
    : program_(program, std::move(arguments)),
      entry_{without_scheme(program_.wait_for(key)), std::move(service)}
{}

void backend::fault(const std::string& json) const
{
    http::request outgoing{"POST", "/faults", {}, json};
    if (ask(url(), std::move(outgoing)).status != 200)
        throw std::runtime_error("the fault is refused: " + json);
}

json::object
proxy_settings_json(const std::vector<listed>& servers, const std::string& host)
{
    json::array listed_servers;
    for (const auto& server : servers)
        listed_servers.push_back(json::object{
            {"address", server.address},
            {"zone", "zone-a"},
            {"service", server.service}});
    return {
        {"host", host},
        {"zone", "zone-a"},
        {"listen",
         json::object{
             {"callers", "127.0.0.1:0"}, {"operators", "127.0.0.1:0"}}},
        {"log_level", "debug"},
        {"resume_keys",
         json::array{json::object{
             {"id", "k1"},
             {"secret", "a secret of tests, of 32 bytes and more"}}}},
        {"drain", json::object{{"readiness_ms", 0}}},
        {"static",
         json::object{
             {"catalogue", catalogue()},
             {"servers", std::move(listed_servers)}}}};
}

std::string write_settings(const json::object& settings)
{
    std::string path = "/tmp/godwit-settings-XXXXXX";
    ::close(::mkstemp(path.data()));
    std::ofstream(path) << json::serialize(settings);
    return path;
}

proxy_program::proxy_program(
    const std::vector<listed>& servers,
    const std::string& host,
    const json::object& changes)
{
    auto settings = proxy_settings_json(servers, host);
    for (const auto& [key, value] : changes)
        settings[key] = value;
    settings_path_ = write_settings(settings);
    program_ = std::make_unique<child_program>(
        "godwit-proxy", std::vector<std::string>{"--config", settings_path_});
    callers_ = program_->wait_for("callers");
    operators_ = program_->wait_for("operators");
    program_->wait_for("ready");
    ::unlink(settings_path_.c_str());
}

std::string proxy_program::story_of(const std::string& request) const
{
    const auto answer = json::parse(get(operators_, "/explain/" + request));
    std::string story;
    for (const auto& decision : answer.at("decisions").as_array()) {
        story += decision.at("step").as_string();
        story += " ";
        story += decision.at("decision").as_string();
        story += ": ";
        story += decision.at("why").as_string();
        story += "\n";
    }
    return story;
}

double proxy_program::metric(const std::string& part) const
{
    std::istringstream lines(get(operators_, "/metrics"));
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with('#') || line.find(part) == std::string::npos)
            continue;
        return std::stod(line.substr(line.rfind(' ') + 1));
    }
    return 0;
}

http::request completion(int tokens, bool stream, const std::string& token)
{
    http::request outgoing;
    outgoing.method = "POST";
    outgoing.target = "/v1/completions";
    outgoing.fields = {{"Authorization", "Bearer " + token}};
    outgoing.body = json::serialize(json::object{
        {"model", "gazetteer"},
        {"prompt", prompt_of(tokens)},
        {"max_tokens", 60000},
        {"stream", stream}});
    return outgoing;
}

http::request call(const std::string& service, const std::string& body)
{
    http::request outgoing;
    outgoing.method = "POST";
    outgoing.target = "/v1/services/" + service + "/entries?draft=1";
    outgoing.fields = {{"Authorization", "Bearer survey-token"}};
    outgoing.body = body;
    return outgoing;
}

std::string expected_text(int tokens, int shown)
{
    std::string text;
    const int end = shown > 0 ? shown : tokens;
    for (int position = 0; position < end; ++position)
        text += fakes::token_text(
            prompt_of(tokens), static_cast<std::uint64_t>(position));
    return text;
}

} // namespace godwit::proxy::test
