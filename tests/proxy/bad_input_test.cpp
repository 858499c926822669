// Whatever is wrong with a request gets a clear answer and touches no backend
// server.

#include "caller.hpp"
#include "fleet.hpp"
#include "raw_caller.hpp"
#include "scripted_server.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include <unistd.h>

namespace {

using namespace godwit::proxy::test;
namespace json = boost::json;

const std::string authorised = "Authorization: Bearer survey-token\r\n";

std::string post(
    const std::string& target,
    const std::string& fields,
    const std::string& body)
{
    return "POST " + target + " HTTP/1.1\r\nHost: x\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string complete(const std::string& fields, const std::string& body)
{
    return post("/v1/completions", fields, body);
}

struct bad_input
{
    std::string what;
    std::string bytes;
    unsigned status;
    std::string reason;
    std::string outcome = "not_run";
};

std::vector<bad_input> table()
{
    const std::string good = R"({"model":"gazetteer","prompt":"p"})";
    const auto with = [](const std::string& member) {
        return R"({"model":"gazetteer","prompt":"p",)" + member + "}";
    };
    return {
        {"no token", complete("", good), 401, "unauthenticated"},
        {"unknown organisation",
         complete("Authorization: Bearer x\r\n", good),
         401,
         "unknown_organisation"},
        {"not JSON",
         complete(authorised, "{\"model\":"),
         400,
         "malformed_json"},
        {"a list", complete(authorised, "[1]"), 400, "malformed_json"},
        {"no prompt",
         complete(authorised, R"({"model":"gazetteer"})"),
         400,
         "bad_body"},
        {"no model",
         complete(authorised, R"({"prompt":"p"})"),
         400,
         "bad_body"},
        {"prompt of a wrong type",
         complete(authorised, R"({"model":"gazetteer","prompt":3})"),
         400,
         "bad_body"},
        {"stream of a wrong type",
         complete(authorised, with(R"("stream":1)")),
         400,
         "bad_body"},
        {"max_tokens of a wrong type",
         complete(authorised, with(R"("max_tokens":"9")")),
         400,
         "bad_body"},
        {"max_tokens too large",
         complete(authorised, with(R"("max_tokens":100001)")),
         400,
         "bad_max_tokens"},
        {"max_tokens of zero",
         complete(authorised, with(R"("max_tokens":0)")),
         400,
         "bad_max_tokens"},
        {"unknown class",
         complete(authorised, with(R"("class":"x")")),
         400,
         "unknown_class"},
        {"unknown service",
         complete(authorised, R"({"model":"x","prompt":"p"})"),
         404,
         "unknown_service"},
        {"a plain service that should generate",
         complete(authorised, R"({"model":"register","prompt":"p"})"),
         400,
         "wrong_kind"},
        {"an engine pool that is called",
         post("/v1/services/gazetteer/x", authorised, ""),
         400,
         "wrong_kind"},
        {"unknown plain service",
         post("/v1/services/x/y", authorised, ""),
         404,
         "unknown_service"},
        {"unknown path", post("/v2", authorised, ""), 404, "unknown_path"},
        {"wrong method",
         "GET /v1/completions HTTP/1.1\r\nHost: x\r\n\r\n",
         405,
         "wrong_method"},
        {"a deadline of words",
         complete(authorised + "Godwit-Deadline-Ms: soon\r\n", good),
         400,
         "bad_deadline"},
        {"a negative deadline",
         complete(authorised + "Godwit-Deadline-Ms: -1\r\n", good),
         400,
         "bad_deadline"},
        {"a deadline beyond the service's",
         complete(authorised + "Godwit-Deadline-Ms: 120001\r\n", good),
         400,
         "bad_deadline"},
        {"an empty key",
         complete(authorised + "Idempotency-Key:\r\n", good),
         400,
         "bad_idempotency_key"},
        {"two keys",
         complete(
             authorised + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n", good),
         400,
         "repeated_header"},
        {"a word in Godwit-Repeatable",
         complete(authorised + "Godwit-Repeatable: maybe\r\n", good),
         400,
         "bad_repeatable"},
        {"a forged resume token",
         complete(authorised + "Last-Event-ID: k1.x.y\r\n", ""),
         400,
         "resume_refused",
         "unknown"},
        {"a body above the service's limit",
         complete(
             authorised, with("\"x\":\"" + std::string(10000, 'x') + "\"")),
         413,
         "body_too_large"},
        {"a body above the proxy's limit",
         complete(authorised, std::string(30000, 'x')),
         413,
         "body_too_large"},
        {"a head too large",
         complete(authorised + "X: " + std::string(5000, 'x') + "\r\n", good),
         431,
         "header_too_large"},
        {"two framings",
         "POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + authorised +
             "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
             "0\r\n\r\n",
         400,
         "malformed"},
        {"two lengths",
         "POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + authorised +
             "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
         400,
         "malformed"},
        {"no HTTP", "hello\r\n\r\n", 400, "malformed"},
        {"a truncated body",
         "POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + authorised +
             "Content-Length: 50\r\n\r\n{",
         400,
         "truncated_body"},
    };
}

class bad_input_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(bad_input_test);
    CPPUNIT_TEST(test_table);
    CPPUNIT_TEST(test_slow_head);
    CPPUNIT_TEST(test_slow_body);
    CPPUNIT_TEST(test_settings_are_checked);
    CPPUNIT_TEST_SUITE_END();

    // Nothing arrives here.
    scripted_server server_{[](int, const std::string&) {
    }};

    [[nodiscard]] proxy_program make_proxy() const
    {
        return proxy_program(
            {{server_.address(), "gazetteer"}, {server_.address(), "register"}},
            "entry-1",
            {{"http",
              json::object{
                  {"header_bytes", 4096},
                  {"body_bytes", 20000},
                  {"header_ms", 300},
                  {"body_ms", 300}}}});
    }

    void check(const std::string& text, const bad_input& wanted) const
    {
        CPPUNIT_ASSERT_MESSAGE(
            wanted.what + ": " + text,
            text.starts_with("HTTP/1.1 " + std::to_string(wanted.status)));
        const auto body = text.substr(text.find("\r\n\r\n") + 4);
        const auto problem = json::parse(body.substr(0, body.rfind('}') + 1));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            wanted.what,
            wanted.reason,
            std::string(problem.at("reason").as_string()));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            wanted.what,
            wanted.outcome,
            std::string(problem.at("outcome").as_string()));
        CPPUNIT_ASSERT(!problem.at("remedy").as_string().empty());
        CPPUNIT_ASSERT(text.find("application/problem+json") < text.size());
        CPPUNIT_ASSERT_MESSAGE(wanted.what, server_.requests().empty());
    }

    void test_table()
    {
        const auto proxy = make_proxy();
        for (const auto& input : table()) {
            raw_caller caller(proxy.callers());
            caller.send(input.bytes);
            caller.finish_sending();
            check(caller.read_all(), input);
        }
    }

    void test_slow_head()
    {
        const auto proxy = make_proxy();
        raw_caller caller(proxy.callers());
        caller.send("POST /v1/completions HTTP/1.1\r\nHost:");
        check(caller.read_all(), {"slow head", "", 408, "slow_header"});
    }

    void test_slow_body()
    {
        const auto proxy = make_proxy();
        raw_caller caller(proxy.callers());
        caller.send(
            "POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + authorised +
            "Content-Length: 50\r\n\r\n{");
        check(caller.read_all(), {"slow body", "", 408, "slow_body"});
    }

    // The program's own word on a settings file, with its exit code.
    static std::string word_on(const json::object& settings, int code)
    {
        const std::string path = write_settings(settings);
        child_program program("godwit-proxy", {"--check", "--config", path});
        const int ended = program.wait();
        ::unlink(path.c_str());
        CPPUNIT_ASSERT_EQUAL(code, ended);
        return program.log();
    }

    void test_settings_are_checked()
    {
        auto settings = proxy_settings_json({}, "entry-1");
        CPPUNIT_ASSERT_EQUAL(std::string(), word_on(settings, 0));
        settings["listen"].as_object()["callers"] = "foo";
        CPPUNIT_ASSERT_EQUAL(
            std::string("godwit-proxy: listen.callers: 'foo' is not an "
                        "IP:port; write for example \"127.0.0.1:8080\"\n"),
            word_on(settings, 3));
        settings = proxy_settings_json({}, "entry-1");
        settings["resume_keys"] = json::array();
        CPPUNIT_ASSERT(
            word_on(settings, 3).find("resume_keys: there is no key") !=
            std::string::npos);
        settings = proxy_settings_json({}, "entry-1");
        settings["typo"] = 1;
        CPPUNIT_ASSERT(
            word_on(settings, 3).find("typo: the key is not known") !=
            std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(bad_input_test);

} // namespace
