#pragma once

#include "child_program.hpp"

#include <godwit/http/request.hpp>

#include <boost/json/object.hpp>

#include <memory>
#include <string>
#include <vector>

namespace godwit::proxy::test {

/// Where one backend server is, and what it serves.
struct listed
{
    std::string address; ///< "IP:PORT".
    std::string service; ///< "gazetteer", "register" or "ledger".
};

/// A stand-in engine of the service "gazetteer", or a stand-in plain service,
/// in a process of its own.
class backend
{
public:
    static std::unique_ptr<backend>
    engine(std::vector<std::string> options = {});
    static std::unique_ptr<backend>
    plain(const std::string& service, bool deduplicates = false);

    [[nodiscard]] listed entry() const { return entry_; }

    [[nodiscard]] std::string url() const { return "http://" + entry_.address; }

    /// Switches faults, as JSON.
    void fault(const std::string& json) const;

    [[nodiscard]] child_program& program() { return program_; }

private:
    backend(
        const std::string& program,
        std::vector<std::string> arguments,
        const std::string& key,
        std::string service);

    child_program program_;
    listed entry_;
};

/// A proxy in a process of its own, with a catalogue and backend servers from
/// its settings: the organisations "survey" and "clerks" with the bearer
/// tokens "survey-token" and "clerks-token", the engine pool "gazetteer" and
/// the plain services "register" and "ledger", which deduplicates.
class proxy_program
{
public:
    /// Starts it and waits until it is ready. `changes` replaces or adds
    /// settings at the top level.
    explicit proxy_program(
        const std::vector<listed>& servers,
        const std::string& host = "entry-1",
        const boost::json::object& changes = {});

    [[nodiscard]] const std::string& callers() const { return callers_; }

    [[nodiscard]] const std::string& operators() const { return operators_; }

    [[nodiscard]] child_program& program() { return *program_; }

    /// The decisions on a request, one "step decision: why" a line.
    [[nodiscard]] std::string story_of(const std::string& request) const;

    /// The value of a metric's first line that contains `part`; 0 if none.
    [[nodiscard]] double metric(const std::string& part) const;

private:
    std::string settings_path_;
    std::unique_ptr<child_program> program_;
    std::string callers_;
    std::string operators_;
};

/// The settings of such a proxy.
boost::json::object proxy_settings_json(
    const std::vector<listed>& servers, const std::string& host);

/// Writes a settings file into /tmp.
std::string write_settings(const boost::json::object& settings);

/// A completion of `tokens` tokens.
http::request
completion(int tokens, bool stream, const std::string& token = "survey-token");

/// A call of a plain service.
http::request call(const std::string& service, const std::string& body);

/// The text of an answer of `tokens` tokens as the stand-in engine makes it,
/// or only its first `shown` tokens.
std::string expected_text(int tokens, int shown = 0);

} // namespace godwit::proxy::test
