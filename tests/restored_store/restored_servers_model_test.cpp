#include "store_model.hpp"

#include <godwit/entry/server_list_outage.hpp>
#include <godwit/placement/server_directory.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <vector>

namespace {

using namespace godwit;
using platform_adapter::test::explore;
using platform_adapter::test::reader_model;
using platform_adapter::test::store_model;
using platform_adapter::test::successor_list;

constexpr std::size_t hosts = 2;

core::time_point at_ms(int milliseconds)
{
    return core::time_point(std::chrono::milliseconds(milliseconds));
}

/// The state in a server's record.
enum class record_state
{
    ready,
    draining,
    deleted,
};

struct server_record
{
    record_state state = record_state::ready;
    unsigned sequence = 0;

    [[nodiscard]] std::string key() const
    {
        return std::to_string(static_cast<int>(state)) + '.' +
               std::to_string(sequence);
    }

    friend bool
    operator==(const server_record&, const server_record&) = default;
};

/// Model of one backend server, its topic, and the hosts that read it.
class server_model
{
public:
    static constexpr int depth = 11;

    [[nodiscard]] std::vector<server_model> successors() const
    {
        successor_list<server_model> made(*this);
        made.add(current_.state == record_state::ready, [](auto& next) {
            next.write({record_state::draining, next.current_.sequence + 1});
        });
        made.add(current_.state == record_state::draining, [](auto& next) {
            next.write({record_state::deleted, next.current_.sequence});
        });
        made.add(
            current_.state == record_state::ready &&
                current_.sequence < max_heartbeats,
            [](auto& next) {
                next.write({record_state::ready, next.current_.sequence + 1});
            });
        made.add(is_lost(), [](auto& next) { next.write(next.current_); });
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
        }
        return made.take();
    }

    [[nodiscard]] std::string violation() const
    {
        for (const host_model& host : hosts_) {
            if (host.used_after_removal)
                return "a removed server is used again";
            if (host.removed_while_running)
                return "a running server is removed";
        }
        server_model settled = *this;
        settled.settle();
        for (const host_model& host : settled.hosts_) {
            if (host.removed_while_running)
                return "a running server is removed in the final state";
            if (host.is_usable() != (current_.state == record_state::ready))
                return host.is_usable() ? "a removed server stays usable"
                                        : "a running server is not usable";
        }
        return {};
    }

    [[nodiscard]] std::string key() const
    {
        std::string text = store_.key() + ';' + current_.key();
        for (const host_model& host : hosts_)
            text += ';' + host.key();
        return text;
    }

    /// Both hosts use the server, which is missing in the backup.
    static server_model start()
    {
        server_model made;
        made.write({record_state::ready, 1});
        for (host_model& host : made.hosts_)
            host.outage.set_current(true, at_ms(0));
        made.settle();
        return made;
    }

private:
    static constexpr unsigned last_epoch = 3;
    static constexpr unsigned max_heartbeats = 2;
    static constexpr int round_ms = 100;

    static placement::server_id id() { return placement::server_id("i-1"); }

    struct host_model
    {
        reader_model<server_record> reader;
        entry::server_list_outage outage;
        placement::server_directory directory;
        bool was_removed = false;
        bool used_after_removal = false;
        bool removed_while_running = false;

        [[nodiscard]] bool is_usable() const
        {
            return directory.is_usable(id());
        }

        [[nodiscard]] std::string key() const
        {
            const auto* known = directory.find(id());
            return reader.key() + (is_usable() ? "u" : "-") +
                   (was_removed ? "l" : "-") + (used_after_removal ? "!" : "") +
                   (removed_while_running ? "?" : "") +
                   (is_missing ? "p" : "") +
                   (known != nullptr ? std::to_string(known->revision) : "");
        }

        bool is_missing = false; ///< The server's record is missing or deleted.
    };

    void write(const server_record& record)
    {
        current_ = record;
        store_.log.push_back(record);
    }

    [[nodiscard]] bool is_lost() const
    {
        return store_.log.empty() || !(store_.log.back() == current_);
    }

    void request(std::size_t host) { hosts_[host].reader.request(store_); }

    void deliver(std::size_t at)
    {
        host_model& host = hosts_[at];
        host.reader.deliver(
            [this, &host] { host.outage.record_restore(at_ms(time_ms_)); },
            [this, &host](const auto& response) {
                // In a snapshot only the newest record counts.
                if (response.is_snapshot)
                    apply(
                        host,
                        response.records.empty()
                            ? server_record{record_state::deleted, 0}
                            : response.records.back());
                else
                    for (const server_record& record : response.records)
                        apply(host, record);
            });
    }

    void apply(host_model& host, const server_record& record)
    {
        const bool was_usable = host.is_usable();
        host.is_missing = record.state == record_state::deleted;
        if (record.state == record_state::deleted) {
            host.directory.remove(
                id(), host.outage.state_at(at_ms(time_ms_)), at_ms(time_ms_));
        } else {
            host.directory.update(server_of(record), at_ms(time_ms_));
            host.directory.confirm(id());
        }
        update_flags(host, was_usable);
    }

    void update_flags(host_model& host, bool was_usable)
    {
        const bool is_usable = host.is_usable();
        host.used_after_removal |= host.was_removed && is_usable;
        const bool is_removed = was_usable && !is_usable;
        host.removed_while_running |=
            is_removed && current_.state == record_state::ready;
        host.was_removed |= is_removed;
    }

    static placement::backend_server server_of(const server_record& record)
    {
        placement::backend_server made{
            .id = id(),
            .service = core::service_name("lm"),
            .address = http::endpoint::parse("127.0.0.1:1").value(),
            .zone = {}};
        made.state = record.state == record_state::ready
                         ? placement::server_state::ready
                         : placement::server_state::draining;
        made.revision = record.sequence;
        made.start = placement::server_start{1};
        return made;
    }

    // The server registers again one second after the restore, well within its
    // grace period.
    void settle()
    {
        constexpr int rewrite_round = 10;
        constexpr int rounds = 80;
        for (int round = 0; round < rounds; ++round) {
            time_ms_ += round_ms;
            if (round == rewrite_round && is_lost())
                write(current_);
            for (std::size_t host = 0; host < hosts; ++host) {
                if (!hosts_[host].reader.response)
                    request(host);
                deliver(host);
                const bool was_usable = hosts_[host].is_usable();
                [[maybe_unused]] const auto expired =
                    hosts_[host].directory.expire(at_ms(time_ms_));
                update_flags(hosts_[host], was_usable);
            }
        }
    }

    store_model<server_record> store_;
    server_record current_;
    int time_ms_ = 10000;
    std::array<host_model, hosts> hosts_;
};

class restored_servers_model_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restored_servers_model_test);
    CPPUNIT_TEST(test_all_hosts_end_with_the_servers_that_live);
    CPPUNIT_TEST_SUITE_END();

    static void test_all_hosts_end_with_the_servers_that_live()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), explore<server_model>("servers"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(restored_servers_model_test);

} // namespace
