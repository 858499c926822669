// What the proxy's dispatch takes from the catalogue.

#include "caller.hpp"
#include "fleet.hpp"

#include <boost/json/object.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <future>
#include <vector>

namespace {

using namespace godwit::proxy::test;
namespace json = boost::json;

class catalogue_policy_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(catalogue_policy_test);
    CPPUNIT_TEST(test_longest_wait_ends_queueing);
    CPPUNIT_TEST_SUITE_END();

    /// The settings' part with the catalogue, where the class waits 100 ms at
    /// most and each organisation runs one request at a time.
    static json::object fixed_part(const std::vector<listed>& servers)
    {
        auto fixed =
            proxy_settings_json(servers, "entry-1").at("static").as_object();
        for (auto& change : fixed.at("catalogue").at("changes").as_array()) {
            auto& value = change.at("value").as_object();
            if (change.at("entry") == "class/interactive")
                value["longest_wait_ms"] = 100;
            else if (value.contains("token_hashes"))
                value["limits"].as_object()["concurrency"] = 1;
        }
        return fixed;
    }

    void test_longest_wait_ends_queueing()
    {
        // 120 tokens take 3 s.
        const auto engine = backend::engine({"--tokens-per-second", "40"});
        const std::vector<listed> servers{engine->entry()};
        const proxy_program proxy(
            servers, "entry-1", {{"static", fixed_part(servers)}});
        const auto generate = [&proxy] {
            return ask(proxy.callers(), completion(120, false)).status;
        };
        auto one = std::async(std::launch::async, generate);
        auto other = std::async(std::launch::async, generate);
        const unsigned first = one.get();
        const unsigned second = other.get();
        // Whichever came first runs; the other is not held until its end.
        CPPUNIT_ASSERT_EQUAL(200U, std::min(first, second));
        CPPUNIT_ASSERT(std::max(first, second) >= 429U);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(catalogue_policy_test);

} // namespace
