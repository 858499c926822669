// Searches all interleavings of a few steps of a store that is restored, its
// writers and the hosts that read it. Hosts decide by the classes that the
// entry host runs.

#include <godwit/entry/list_outage.hpp>
#include <godwit/placement/server_directory.hpp>
#include <godwit/platform_adapter/store_eras.hpp>
#include <godwit/platform_adapter/topic_cursor.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <iostream>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace {

using namespace godwit;
using platform_adapter::era_sign;
using platform_adapter::store_eras;
using platform_adapter::topic_cursor;

constexpr std::size_t hosts = 2;
// What may be left to do after a search: enough rounds for all to settle.
constexpr int settling_rounds = 8;

core::time_point at_ms(int milliseconds)
{
    return core::time_point(std::chrono::milliseconds(milliseconds));
}

/// A store with one topic, restored from the copy that was taken last.
template<class Record>
struct store_model
{
    unsigned era = 1;
    std::vector<Record> log;
    std::size_t copied = 0;

    /// What was acknowledged since the copy is gone.
    void restore()
    {
        log.resize(std::min(copied, log.size()));
        ++era;
    }

    [[nodiscard]] std::string key() const
    {
        std::string text = std::to_string(era) + '/' + std::to_string(copied);
        for (const Record& one : log)
            text += ',' + one.key();
        return text;
    }
};

/// An answer on its way.
template<class Record>
struct answer_model
{
    unsigned era = 0;
    bool is_whole = false;
    bool is_gone = false; ///< 410.
    std::uint64_t end = 0;
    std::vector<Record> records;

    [[nodiscard]] std::string key() const
    {
        std::string text = std::to_string(era) + (is_whole ? "w" : "r") +
                           (is_gone ? "g" : "") + std::to_string(end);
        for (const Record& one : records)
            text += ',' + one.key();
        return text;
    }
};

/// One host's following of the topic, step by step as topic_follower does it.
template<class Record>
struct reader_model
{
    store_eras eras;
    topic_cursor cursor;
    bool is_caught_up = false;
    std::optional<answer_model<Record>> answer;

    void ask(const store_model<Record>& store)
    {
        answer_model<Record> made;
        made.era = store.era;
        made.end = store.log.size();
        made.is_whole = !is_caught_up;
        std::size_t from = 0;
        if (is_caught_up)
            from = cursor.next()->offset;
        made.is_gone = from > store.log.size();
        if (!made.is_gone)
            made.records.assign(
                store.log.begin() + static_cast<std::ptrdiff_t>(from),
                store.log.end());
        answer = std::move(made);
    }

    /// `on_restored` before anything of a restored store is taken.
    void deliver(
        const std::function<void()>& on_restored,
        const std::function<void(const answer_model<Record>&)>& take)
    {
        const answer_model<Record> came = std::move(*answer);
        answer.reset();
        const era_sign sign = eras.note(std::to_string(came.era));
        const bool is_usable =
            sign == era_sign::current || sign == era_sign::restored;
        std::optional<std::uint64_t> end;
        if (is_usable && !came.is_gone)
            end = came.end;
        if (cursor.is_outdated(eras.current(), end)) {
            cursor.reset();
            is_caught_up = false;
            on_restored();
        } else if (!is_usable || came.is_gone) {
            is_caught_up = false;
        } else {
            cursor.advance({eras.current(), came.end});
            is_caught_up = true;
            take(came);
        }
    }

    [[nodiscard]] std::string key() const
    {
        std::string text = std::to_string(eras.current());
        if (cursor.next())
            text += ':' + std::to_string(cursor.next()->era) + ':' +
                    std::to_string(cursor.next()->offset);
        text += is_caught_up ? "c" : "-";
        return answer ? text + '(' + answer->key() + ')' : text;
    }
};

/// A version of the table.
struct version_record
{
    unsigned version = 0;

    [[nodiscard]] std::string key() const { return std::to_string(version); }
};

/// The operator, its topic, and hosts that tell each other of versions.
class table_model
{
public:
    static constexpr int depth = 10;

    /// The steps that are possible now, each made on a copy.
    [[nodiscard]] std::vector<table_model> successors() const
    {
        std::vector<table_model> made;
        const auto add = [this, &made](bool is_possible, const auto& step) {
            if (!is_possible)
                return;
            made.push_back(*this);
            step(made.back());
        };
        add(newest_ < most_versions, [](auto& next) { next.publish(); });
        add(is_lost(), [](auto& next) { next.write_again(); });
        add(store_.copied < store_.log.size(),
            [](auto& next) { next.store_.copied = next.store_.log.size(); });
        add(store_.era < last_era, [](auto& next) { next.store_.restore(); });
        for (std::size_t host = 0; host < hosts; ++host) {
            add(!hosts_[host].reader.answer,
                [host](auto& next) { next.ask(host); });
            add(hosts_[host].reader.answer.has_value(),
                [host](auto& next) { next.deliver(host); });
            add(hosts_[host].announced > hosts_[host].version,
                [host](auto& next) { next.pull(host); });
            add(starts_ == 0, [host](auto& next) { next.start(host); });
        }
        return made;
    }

    /// Empty unless the rules are broken by now, or once all has settled.
    [[nodiscard]] std::string broken() const
    {
        for (const host_model& host : hosts_) {
            if (host.went_back)
                return "a host went back";
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

    /// Both hosts have the first version, and the copy holds it.
    static table_model start()
    {
        table_model made;
        made.publish();
        made.store_.copied = 1;
        made.settle();
        return made;
    }

private:
    static constexpr unsigned most_versions = 5;
    static constexpr unsigned last_era = 3;

    struct host_model
    {
        reader_model<version_record> reader;
        unsigned version = 0;
        unsigned announced = 0;
        bool went_back = false;
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

    void write_again() { store_.log.push_back({newest_}); }

    void ask(std::size_t host) { hosts_[host].reader.ask(store_); }

    void deliver(std::size_t host)
    {
        hosts_[host].reader.deliver(
            [] {},
            [this, host](const auto& answer) {
                for (const version_record& record : answer.records)
                    take(host, record.version);
            });
    }

    void take(std::size_t host, unsigned version)
    {
        host_model& taker = hosts_[host];
        const unsigned before = taker.version;
        // As entry_process::has_version decides.
        if (version <= before)
            return;
        taker.version = version;
        taker.went_back = taker.version < before;
        for (host_model& other : hosts_)
            other.announced = std::max(other.announced, version);
    }

    void pull(std::size_t host)
    {
        const auto best = std::max_element(
            hosts_.begin(), hosts_.end(), [](const auto& one, const auto& two) {
                return one.version < two.version;
            });
        take(host, best->version);
    }

    // A new life, greeted by its neighbours.
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
            write_again();
        for (int round = 0; round < settling_rounds; ++round) {
            for (std::size_t host = 0; host < hosts; ++host) {
                if (!hosts_[host].reader.answer)
                    ask(host);
                deliver(host);
            }
        }
    }

    store_model<version_record> store_;
    unsigned newest_ = 0;
    unsigned starts_ = 0;
    std::array<host_model, hosts> hosts_;
};

/// What a server's record says.
enum class listing
{
    ready,
    draining,
    dropped,
};

struct server_record
{
    listing says = listing::ready;
    unsigned sequence = 0;

    [[nodiscard]] std::string key() const
    {
        return std::to_string(static_cast<int>(says)) + '.' +
               std::to_string(sequence);
    }

    friend bool
    operator==(const server_record&, const server_record&) = default;
};

/// One backend server, its topic, and hosts that tell each other that it
/// leaves.
class server_model
{
public:
    static constexpr int depth = 11;

    [[nodiscard]] std::vector<server_model> successors() const
    {
        std::vector<server_model> made;
        const auto add = [this, &made](bool is_possible, const auto& step) {
            if (!is_possible)
                return;
            made.push_back(*this);
            step(made.back());
        };
        add(now_.says == listing::ready, [](auto& next) {
            next.write({listing::draining, next.now_.sequence + 1});
        });
        add(now_.says == listing::draining, [](auto& next) {
            next.write({listing::dropped, next.now_.sequence});
        });
        add(now_.says == listing::ready && now_.sequence < most_beats,
            [](auto& next) {
                next.write({listing::ready, next.now_.sequence + 1});
            });
        add(is_lost(), [](auto& next) { next.write(next.now_); });
        add(store_.copied < store_.log.size(),
            [](auto& next) { next.store_.copied = next.store_.log.size(); });
        add(store_.era < last_era, [](auto& next) { next.store_.restore(); });
        for (std::size_t host = 0; host < hosts; ++host) {
            add(!hosts_[host].reader.answer,
                [host](auto& next) { next.ask(host); });
            add(hosts_[host].reader.answer.has_value(),
                [host](auto& next) { next.deliver(host); });
        }
        return made;
    }

    [[nodiscard]] std::string broken() const
    {
        for (const host_model& host : hosts_) {
            if (host.used_after_leaving)
                return "a server that left is used again";
            if (host.lost_while_alive)
                return "a living server is taken for gone";
        }
        server_model settled = *this;
        settled.settle();
        for (const host_model& host : settled.hosts_) {
            if (host.lost_while_alive)
                return "a living server is taken for gone in the end";
            if (host.is_usable() != (now_.says == listing::ready))
                return host.is_usable() ? "a server that left stays in use"
                                        : "a living server is not used";
        }
        return {};
    }

    [[nodiscard]] std::string key() const
    {
        std::string text = store_.key() + ';' + now_.key();
        for (const host_model& host : hosts_)
            text += ';' + host.key();
        return text;
    }

    /// Both hosts use the server, and the copy lacks it.
    static server_model start()
    {
        server_model made;
        made.write({listing::ready, 1});
        for (host_model& host : made.hosts_)
            host.outage.set_current(true, at_ms(0));
        made.settle();
        return made;
    }

private:
    static constexpr unsigned last_era = 3;
    static constexpr unsigned most_beats = 2;
    static constexpr int round_ms = 100;

    static placement::server_id id() { return placement::server_id("i-1"); }

    struct host_model
    {
        reader_model<server_record> reader;
        entry::list_outage outage;
        placement::server_directory directory;
        bool has_left = false;
        bool used_after_leaving = false;
        bool lost_while_alive = false;

        [[nodiscard]] bool is_usable() const
        {
            return directory.is_usable(id());
        }

        [[nodiscard]] std::string key() const
        {
            const auto* known = directory.find(id());
            return reader.key() + (is_usable() ? "u" : "-") +
                   (has_left ? "l" : "-") + (used_after_leaving ? "!" : "") +
                   (lost_while_alive ? "?" : "") + (has_lapsed ? "p" : "") +
                   (known != nullptr ? std::to_string(known->revision) : "");
        }

        bool has_lapsed = false; ///< Its entry is missing in the list.
    };

    void write(const server_record& record)
    {
        now_ = record;
        store_.log.push_back(record);
    }

    [[nodiscard]] bool is_lost() const
    {
        return store_.log.empty() || !(store_.log.back() == now_);
    }

    void ask(std::size_t host) { hosts_[host].reader.ask(store_); }

    void deliver(std::size_t at)
    {
        host_model& host = hosts_[at];
        host.reader.deliver(
            [this, &host] { host.outage.restored(at_ms(time_ms_)); },
            [this, &host](const auto& answer) {
                // Of a whole list the newest record counts alone.
                if (answer.is_whole)
                    take(
                        host,
                        answer.records.empty()
                            ? server_record{listing::dropped, 0}
                            : answer.records.back());
                else
                    for (const server_record& record : answer.records)
                        take(host, record);
            });
    }

    void take(host_model& host, const server_record& record)
    {
        const bool was_usable = host.is_usable();
        host.has_lapsed = record.says == listing::dropped;
        if (record.says == listing::dropped) {
            host.directory.delisted(
                id(), host.outage.source(at_ms(time_ms_)), at_ms(time_ms_));
        } else {
            host.directory.listed(entry_of(record), at_ms(time_ms_));
            host.directory.still_listed(id());
        }
        note(host, was_usable);
    }

    void note(host_model& host, bool was_usable)
    {
        const bool is_usable = host.is_usable();
        host.used_after_leaving |= host.has_left && is_usable;
        const bool left = was_usable && !is_usable;
        host.lost_while_alive |= left && now_.says == listing::ready;
        host.has_left |= left;
    }

    static placement::backend_server entry_of(const server_record& record)
    {
        placement::backend_server made{
            .id = id(),
            .service = core::service_name("lm"),
            .address = http::endpoint::parse("127.0.0.1:1").value(),
            .zone = {}};
        made.state = record.says == listing::ready
                         ? placement::server_state::ready
                         : placement::server_state::leaving;
        made.revision = record.sequence;
        made.start = placement::server_start{1};
        return made;
    }

    // The server writes itself again a second after the restore, well within
    // the time that it has.
    void settle()
    {
        constexpr int rewrite_round = 10;
        constexpr int rounds = 80;
        for (int round = 0; round < rounds; ++round) {
            time_ms_ += round_ms;
            if (round == rewrite_round && is_lost())
                write(now_);
            for (std::size_t host = 0; host < hosts; ++host) {
                if (!hosts_[host].reader.answer)
                    ask(host);
                deliver(host);
                const bool was_usable = hosts_[host].is_usable();
                [[maybe_unused]] const auto gone =
                    hosts_[host].directory.expire(at_ms(time_ms_));
                note(hosts_[host], was_usable);
            }
        }
    }

    store_model<server_record> store_;
    server_record now_;
    int time_ms_ = 10000;
    std::array<host_model, hosts> hosts_;
};

/// Every state that a few steps lead to; what is broken first, with its state.
template<class Model>
std::string explore(const char* name)
{
    std::unordered_set<std::string> known;
    std::vector<Model> reached{Model::start()};
    for (int depth = 0; depth < Model::depth; ++depth) {
        std::vector<Model> further;
        for (const Model& state : reached) {
            for (Model& next : state.successors()) {
                if (!known.insert(next.key()).second)
                    continue;
                const std::string broken = next.broken();
                if (!broken.empty())
                    return broken + " after " + std::to_string(depth + 1) +
                           " steps: " + next.key();
                further.push_back(std::move(next));
            }
        }
        reached = std::move(further);
    }
    std::cout << name << ": " << known.size() << " states in " << Model::depth
              << " steps\n";
    return {};
}

class restored_store_model_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restored_store_model_test);
    CPPUNIT_TEST(test_all_hosts_end_with_the_newest_version);
    CPPUNIT_TEST(test_all_hosts_end_with_the_servers_that_live);
    CPPUNIT_TEST_SUITE_END();

    static void test_all_hosts_end_with_the_newest_version()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), explore<table_model>("tables"));
    }

    static void test_all_hosts_end_with_the_servers_that_live()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), explore<server_model>("servers"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(restored_store_model_test);

} // namespace
