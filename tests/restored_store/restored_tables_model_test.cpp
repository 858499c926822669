#include "store_model.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace {

using namespace godwit;
using platform_adapter::test::explore;
using platform_adapter::test::reader_model;
using platform_adapter::test::store_model;
using platform_adapter::test::successor_list;

constexpr std::size_t hosts = 2;

// Enough rounds for all hosts to reach a final state after a search.
constexpr int settling_rounds = 8;

/// A version of the table.
struct version_record
{
    unsigned version = 0;

    [[nodiscard]] std::string key() const { return std::to_string(version); }
};

/// Model of the operator, its topic, and hosts that announce versions to each
/// other.
class table_model
{
public:
    static constexpr int depth = 10;

    /// Returns the states after each possible step.
    [[nodiscard]] std::vector<table_model> successors() const
    {
        successor_list<table_model> made(*this);
        made.add(newest_ < max_versions, [](auto& next) { next.publish(); });
        made.add(is_lost(), [](auto& next) { next.rewrite(); });
        made.add(store_.backed_up < store_.log.size(), [](auto& next) {
            next.store_.backed_up = next.store_.log.size();
        });
        made.add(store_.epoch < last_epoch, [](auto& next) {
            next.store_.restore();
        });
        for (std::size_t host = 0; host < hosts; ++host) {
            made.add(!hosts_[host].reader.response, [host](auto& next) {
                next.request(host);
            });
            made.add(
                hosts_[host].reader.response.has_value(),
                [host](auto& next) { next.deliver(host); });
            made.add(
                hosts_[host].announced > hosts_[host].version,
                [host](auto& next) { next.pull(host); });
            made.add(starts_ == 0, [host](auto& next) { next.start(host); });
        }
        return made.take();
    }

    /// Returns the violated invariant, now or in the final state; empty if
    /// none.
    [[nodiscard]] std::string violation() const
    {
        for (const host_model& host : hosts_) {
            if (host.reverted)
                return "a host reverted to an older version";
        }
        table_model settled = *this;
        settled.settle();
        for (const host_model& host : settled.hosts_) {
            if (host.version != newest_)
                return "a host stays at " + std::to_string(host.version) +
                       " while " + std::to_string(newest_) + " is newest";
        }
        return {};
    }

    [[nodiscard]] std::string key() const
    {
        std::string text = store_.key() + ';' + std::to_string(newest_) +
                           std::to_string(starts_);
        for (const host_model& host : hosts_)
            text += ';' + host.reader.key() + '=' +
                    std::to_string(host.version) + '<' +
                    std::to_string(host.announced);
        return text;
    }

    /// Both hosts and the backup have the first version.
    static table_model start()
    {
        table_model made;
        made.publish();
        made.store_.backed_up = 1;
        made.settle();
        return made;
    }

private:
    static constexpr unsigned max_versions = 5;
    static constexpr unsigned last_epoch = 3;

    struct host_model
    {
        reader_model<version_record> reader;
        unsigned version = 0;
        unsigned announced = 0;
        bool reverted = false;
    };

    void publish()
    {
        ++newest_;
        store_.log.push_back({newest_});
    }

    [[nodiscard]] bool is_lost() const
    {
        return store_.log.empty() || store_.log.back().version < newest_;
    }

    void rewrite() { store_.log.push_back({newest_}); }

    void request(std::size_t host) { hosts_[host].reader.request(store_); }

    void deliver(std::size_t host)
    {
        hosts_[host].reader.deliver(
            [] {},
            [this, host](const auto& response) {
                for (const version_record& record : response.records)
                    apply(host, record.version);
            });
    }

    void apply(std::size_t host, unsigned version)
    {
        host_model& applying_host = hosts_[host];
        const unsigned before = applying_host.version;
        // The same decision as in entry_process::has_version.
        if (version <= before)
            return;
        applying_host.version = version;
        applying_host.reverted = applying_host.version < before;
        for (host_model& other : hosts_)
            other.announced = std::max(other.announced, version);
    }

    void pull(std::size_t host)
    {
        const auto best = std::max_element(
            hosts_.begin(), hosts_.end(), [](const auto& one, const auto& two) {
                return one.version < two.version;
            });
        apply(host, best->version);
    }

    // Restarts the host; its neighbours announce their versions to it.
    void start(std::size_t host)
    {
        ++starts_;
        hosts_[host] = host_model();
        for (const host_model& other : hosts_)
            hosts_[host].announced =
                std::max(hosts_[host].announced, other.version);
    }

    void settle()
    {
        if (is_lost())
            rewrite();
        for (int round = 0; round < settling_rounds; ++round) {
            for (std::size_t host = 0; host < hosts; ++host) {
                if (!hosts_[host].reader.response)
                    request(host);
                deliver(host);
            }
        }
    }

    store_model<version_record> store_;
    unsigned newest_ = 0;
    unsigned starts_ = 0;
    std::array<host_model, hosts> hosts_;
};

class restored_tables_model_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restored_tables_model_test);
    CPPUNIT_TEST(test_all_hosts_end_with_the_newest_version);
    CPPUNIT_TEST_SUITE_END();

    static void test_all_hosts_end_with_the_newest_version()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), explore<table_model>("tables"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(restored_tables_model_test);

} // namespace
