#include "caller.hpp"
#include "child_program.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <unistd.h>

using namespace godwit;
namespace json = boost::json;
using proxy::test::ask;
using proxy::test::child_program;
using proxy::test::get;

namespace {

constexpr auto patience = std::chrono::seconds(40);
constexpr auto look_again = std::chrono::milliseconds(50);
constexpr std::size_t agent_count = 2;
constexpr std::size_t engine_count = 3;

std::string without_scheme(const std::string& url)
{
    return url.substr(url.find("//") + 2);
}

void wait_until(const std::function<bool()>& condition)
{
    boost::asio::io_context context;
    boost::asio::steady_timer timer(context);
    const auto deadline = std::chrono::steady_clock::now() + patience;
    while (!condition()) {
        CPPUNIT_ASSERT_MESSAGE(
            "waited too long", std::chrono::steady_clock::now() < deadline);
        timer.expires_after(look_again);
        timer.wait();
    }
}

/// The platform, two agents and a pool of engines.
class pool_fleet
{
public:
    explicit pool_fleet(bool checks_fencing)
        : platform_("godwit-fake-platform", {"--host-list-lag-ms", "0"}),
          checks_fencing_(checks_fencing)
    {
        platform_url_ = platform_.wait_for("platform");
        for (std::size_t index = 0; index < engine_count; ++index)
            add_engine();
        for (std::size_t index = 0; index < agent_count; ++index)
            add_agent(index);
    }

    ~pool_fleet()
    {
        for (const auto& path : settings_)
            std::remove(path.c_str());
    }

    void want(const std::string& version)
    {
        json::array changes;
        if (version_ == 0)
            changes.push_back(json::object{
                {"entry", "class/interactive"},
                {"value", json::object{{"weight", 1}}}});
        json::object limits{
            {"queue_bound", 100},
            {"default_deadline_ms", 60000},
            {"maximum_deadline_ms", 120000},
            {"maximum_tokens", 1000},
            {"maximum_body_bytes", 10000}};
        json::object target{
            {"model", "lm"}, {"version", version}, {"replicas", engine_count}};
        changes.push_back(json::object{
            {"entry", "service/gazetteer"},
            {"expected_version", version_},
            {"value",
             json::object{
                 {"class", "interactive"},
                 {"kind", "engine_pool"},
                 {"model", "lm"},
                 {"model_version", version},
                 {"checks_fencing", checks_fencing_},
                 {"limits", limits},
                 {"engine_targets", json::array{target}}}}});
        const json::object record{
            {"change_id", "change-" + version},
            {"operator", "ana"},
            {"changes", changes}};
        const auto answer =
            ask(platform_url_,
                {"POST",
                 "/v1/streams/catalogue/records",
                 {},
                 json::serialize(record)});
        CPPUNIT_ASSERT_EQUAL(200U, answer.status);
        version_ =
            json::parse(answer.body).at("offset").to_number<std::uint64_t>() +
            1;
    }

    void wait_for_version(const std::string& version) const
    {
        wait_until([&] {
            for (const auto& url : engine_urls_)
                if (version_at(url) != version)
                    return false;
            return true;
        });
    }

    /// The agent that gave the engines their last order.
    std::size_t holder() const { return fencing_of(0) > fencing_of(1) ? 0 : 1; }

    void unlist_agent(std::size_t index)
    {
        ask(platform_url_,
            {"DELETE", "/v1/hosts/" + agent_address(index), {}, {}});
    }

    child_program& agent(std::size_t index) { return *agents_[index]; }

    std::string version(std::size_t index) const
    {
        return version_at(engine_urls_[index]);
    }

    void order(std::size_t index, const std::string& body)
    {
        ask(engine_urls_[index], {"POST", "/orders", {}, body});
    }

    void fault(const std::string& body)
    {
        ask(platform_url_, {"POST", "/faults", {}, body});
    }

private:
    /// The number of an agent's last order; -1 if it gave none.
    std::int64_t fencing_of(std::size_t index) const
    {
        constexpr std::string_view key = "fencing=";
        const auto log = agents_[index]->log();
        const auto at = log.rfind(key);
        return at == std::string::npos
                   ? -1
                   : std::stoll(log.substr(at + key.size()));
    }

    static std::string agent_address(std::size_t index)
    {
        return "127.0.0.2:" + std::to_string(1000 + index);
    }

    static std::string version_at(const std::string& url)
    {
        const auto state = json::parse(get(url, "/orders"));
        return std::string(state.at("version").as_string());
    }

    void list(const std::string& address, json::object host)
    {
        host["zone"] = "zone-a";
        host["state"] = "live";
        const auto answer =
            ask(platform_url_,
                {"PUT", "/v1/hosts/" + address, {}, json::serialize(host)});
        CPPUNIT_ASSERT_EQUAL(2U, answer.status / 100);
    }

    void add_engine()
    {
        engines_.push_back(std::make_unique<child_program>(
            "godwit-fake-engine",
            std::vector<std::string>{
                "--service",
                "lm",
                "--checks-fencing",
                checks_fencing_ ? "yes" : "no"}));
        engine_urls_.push_back(engines_.back()->wait_for("engine"));
        const auto address = without_scheme(engine_urls_.back());
        list(
            address,
            {{"kind", "engine"}, {"name", address}, {"service", "gazetteer"}});
    }

    void add_agent(std::size_t index)
    {
        const auto name = "host-" + std::to_string(index);
        json::object settings{
            {"host", name},
            {"zone", "zone-a"},
            {"platform", without_scheme(platform_url_)},
            {"listen",
             json::object{
                 {"frames", "127.0.0.1:0"}, {"operators", "127.0.0.1:0"}}},
            {"host_list", json::object{{"interval_ms", 100}}},
            {"log", json::object{{"wait_ms", 1000}}},
            {"orders",
             json::object{
                 {"lease_ms", 3000},
                 {"lease_margin_ms", 1000},
                 {"first_wait_ms", 3000},
                 {"weight_store_rate", 100},
                 {"verify_ms", 500},
                 {"pending_ms", 100}}}};
        settings_.push_back(
            "/tmp/godwit-orders-" + std::to_string(::getpid()) + "-" + name);
        std::ofstream(settings_.back()) << json::serialize(settings);
        agents_.push_back(std::make_unique<child_program>(
            "godwit-agent",
            std::vector<std::string>{"--config", settings_.back()}));
        agents_.back()->wait_for("agent");
        list(
            agent_address(index),
            {{"kind", "entry"}, {"name", name}, {"service", ""}});
    }

    child_program platform_;
    bool checks_fencing_;
    std::string platform_url_;
    std::vector<std::unique_ptr<child_program>> engines_;
    std::vector<std::string> engine_urls_;
    std::vector<std::unique_ptr<child_program>> agents_;
    std::vector<std::string> settings_;
    std::uint64_t version_ = 0;
};

class orders_duty_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(orders_duty_test);
    CPPUNIT_TEST(test_holder_stopped_beyond_its_lease);
    CPPUNIT_TEST(test_stray_order_is_put_right);
    CPPUNIT_TEST(test_log_outage_leaves_engines_alone);
    CPPUNIT_TEST_SUITE_END();

    void test_holder_stopped_beyond_its_lease()
    {
        for (const bool checks : {true, false}) {
            pool_fleet fleet(checks);
            fleet.want("2");
            fleet.wait_for_version("2");
            const auto first = fleet.holder();
            fleet.agent(first).signal(SIGSTOP);
            fleet.unlist_agent(first);
            fleet.want("3");
            fleet.wait_for_version("3");
            fleet.agent(first).signal(SIGCONT);
            fleet.agent(first).wait_for_log({"leases_dropped"});
            fleet.want("4");
            fleet.wait_for_version("4");
        }
    }

    void test_stray_order_is_put_right()
    {
        pool_fleet fleet(false);
        fleet.want("2");
        fleet.wait_for_version("2");
        fleet.order(
            0, R"({"fencing":0,"action":"load","model":"lm","version":"1"})");
        CPPUNIT_ASSERT(fleet.version(0) == "1");
        fleet.wait_for_version("2");

        pool_fleet checking(true);
        checking.want("2");
        checking.wait_for_version("2");
        checking.order(
            0, R"({"fencing":0,"action":"load","model":"lm","version":"1"})");
        CPPUNIT_ASSERT(checking.version(0) == "2");
    }

    void test_log_outage_leaves_engines_alone()
    {
        pool_fleet fleet(false);
        fleet.want("2");
        fleet.wait_for_version("2");
        const auto holder = fleet.holder();
        fleet.fault(R"({"outage":true})");
        fleet.agent(holder).wait_for_log({"leases", "held=0"});
        fleet.order(
            0, R"({"fencing":0,"action":"load","model":"lm","version":"1"})");
        fleet.fault(R"({"outage":false})");
        fleet.wait_for_version("2");
        // Put right only after a lease was held again.
        const auto log = fleet.agent(fleet.holder()).log();
        CPPUNIT_ASSERT(log.rfind("held=1") < log.rfind("fencing="));
        const auto lost = log.rfind("held=0");
        CPPUNIT_ASSERT(lost == std::string::npos || lost < log.rfind("held=1"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(orders_duty_test);

} // namespace
