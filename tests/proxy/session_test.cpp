// Whole sessions against stand-ins in processes of their own, compared with
// golden files.

#include "caller.hpp"
#include "fleet.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>
#include <string>

namespace {

using namespace godwit::proxy::test;
namespace json = boost::json;

const std::string golden_folder =
    std::string(GODWIT_SOURCE_FOLDER) + "/tests/sessions/process/";

// Ids, tokens and ports differ from run to run; everything else must not.
std::string normalised(std::string text)
{
    const std::regex id(R"(entry-1\.[0-9a-f]{16}-\d+)");
    text = std::regex_replace(text, id, "REQUEST");
    const std::regex resume(R"(\nid: [A-Za-z0-9._-]+)");
    text = std::regex_replace(text, resume, "\nid: RESUME-TOKEN");
    const std::regex at_start(R"(^id: [A-Za-z0-9._-]+)");
    return std::regex_replace(text, at_start, "id: RESUME-TOKEN");
}

std::string shown(const godwit::http::request& request)
{
    std::string text = request.method + " " + request.target + "\n";
    for (const auto& field : request.fields)
        text += field.name + ": " + field.value + "\n";
    return text + "\n" + request.body.text() + "\n";
}

std::string shown(const godwit::http::response& response)
{
    std::string text = std::to_string(response.status) + "\n";
    for (const auto& field : response.fields)
        text += field.name + ": " + field.value + "\n";
    return text + "\n" + response.body + "\n";
}

// GODWIT_WRITE_GOLDEN=1 writes the files anew; look at the difference before
// it is committed.
void compare(const std::string& name, const std::string& session)
{
    const std::string path = golden_folder + name + ".txt";
    if (std::getenv("GODWIT_WRITE_GOLDEN") != nullptr)
        std::ofstream(path) << session;
    const std::ifstream file(path);
    std::ostringstream golden;
    golden << file.rdbuf();
    CPPUNIT_ASSERT_EQUAL(golden.str(), session);
}

class session_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(session_test);
    CPPUNIT_TEST(test_streamed_generation);
    CPPUNIT_TEST(test_whole_completion);
    CPPUNIT_TEST(test_service_call);
    CPPUNIT_TEST_SUITE_END();

    static std::string id_of(const godwit::http::response& answer)
    {
        return std::string(answer.fields.find("Godwit-Request-Id").value());
    }

    static void record(
        const std::string& name,
        proxy_program& proxy,
        const godwit::http::request& outgoing)
    {
        const auto answer = ask(proxy.callers(), outgoing);
        // The caller has its answer a moment before the proxy's books do.
        proxy.program().wait_for_log({"event=request_ended", id_of(answer)});
        compare(
            name,
            normalised(
                "== request\n" + shown(outgoing) + "== answer\n" +
                shown(answer) + "== decisions\n" +
                proxy.story_of(id_of(answer))));
    }

    void test_streamed_generation()
    {
        const auto engine = backend::engine();
        proxy_program proxy({engine->entry()});
        record("streamed-generation", proxy, completion(4, true));
    }

    void test_whole_completion()
    {
        const auto engine = backend::engine();
        proxy_program proxy({engine->entry()});
        record("whole-completion", proxy, completion(4, false));
    }

    void test_service_call()
    {
        const auto service = backend::plain("register");
        proxy_program proxy({service->entry()});
        auto outgoing = call("register", "{\"name\":\"Smarje\"}");
        outgoing.fields.set("Idempotency-Key", "key-1");
        record("service-call", proxy, outgoing);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_test);

} // namespace
