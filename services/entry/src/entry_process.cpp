#include <godwit/entry/entry_process.hpp>

#include <godwit/telemetry/log.hpp>

#include <boost/asio/post.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <utility>
#include <variant>

namespace godwit::entry {

namespace asio = boost::asio;
using telemetry::log_event;
using telemetry::log_level;

namespace {

constexpr std::string_view component = "entry";
// How often waiting requests try again and lapsed servers are looked at.
constexpr core::duration tick_span = std::chrono::milliseconds(50);
// A balancer asks each second and takes a host out after two misses; new
// connections come that long after the order to stop.
constexpr core::duration accepting_after_stop = std::chrono::milliseconds(2600);
// What is left of the grace for closing sockets and ending.
constexpr core::duration exit_margin = std::chrono::milliseconds(350);
// Neighbours forget what a host has at work after some seconds of silence.
constexpr core::duration work_refresh = std::chrono::milliseconds(500);
// A server gives about two seconds of notice, of which the copies need one.
constexpr core::duration report_span = std::chrono::milliseconds(250);
// A neighbour that dies while it holds a link holds up others no longer.
constexpr core::duration longest_link_claim = std::chrono::milliseconds(500);
// A reader whose word is older, over several hosts, may have gone.
constexpr core::duration reader_lifetime = std::chrono::milliseconds(2000);
// How long a version that neighbours have may take to come from the store.
constexpr core::duration table_patience = std::chrono::milliseconds(250);
// Events come some thirty milliseconds apart; a batch that reads several
// prompts at once is slower by a factor of five.
constexpr core::duration silent_span = std::chrono::milliseconds(700);
// Of about two seconds of notice the copies need one; each question has its
// price.
constexpr core::duration doubt_span = std::chrono::milliseconds(600);
constexpr core::duration stop_watch_span = std::chrono::milliseconds(50);
// The table's limits come from outside; a buffer of this size a connection
// is the most that the memory of a small host can bear.
constexpr std::size_t most_header_bytes = std::size_t{256} * 1024;

http::server_limits
caller_limits(const routing::caller_limits& limits, std::size_t connections)
{
    http::server_limits made;
    made.header_bytes = std::min(limits.header_bytes, most_header_bytes);
    made.body_bytes = limits.body_bytes;
    made.header_timeout = limits.header_timeout;
    made.idle_timeout = limits.idle_timeout;
    made.connections = connections;
    return made;
}

std::uint32_t age_ms(core::duration age)
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
}

bool is_same_but_growth(
    const wire::host_work& left, const wire::host_work& right)
{
    return std::equal(
        left.work.begin(),
        left.work.end(),
        right.work.begin(),
        right.work.end(),
        [](const wire::server_work& one, const wire::server_work& other) {
            return one.server == other.server &&
                   one.requests == other.requests &&
                   one.unread_tokens == other.unread_tokens;
        });
}

} // namespace

core::result<std::unique_ptr<entry_process>> entry_process::create(
    asio::io_context& io, entry_settings settings, const dialect& words)
{
    std::unique_ptr<entry_process> made(
        new entry_process(io, std::move(settings), words));
    const auto listening = made->listen();
    if (!listening)
        return tl::unexpected(listening.error());
    return made;
}

entry_process::entry_process(
    asio::io_context& io, entry_settings settings, const dialect& words)
    : io_(io), context_(io.get_executor(), std::move(settings), words),
      calls_(context_), signals_(io), tick_timer_(io), stop_timer_(io),
      reports_(context_, [this](const placement::backend_server& server) {
          placement::backend_server leaving = server;
          leaving.state = placement::server_state::leaving;
          server_listed(leaving, "report");
          neighbours_->broadcast(wire::server_sign{
              core::server_address(server.address.to_string()),
              wire::sign_kind::leaving,
              0});
      })
{}

core::result<void> entry_process::listen()
{
    http::server_settings callers{
        .address = context_.settings.callers,
        .limits = caller_limits(
            routing::caller_limits(), context_.settings.caller_connections),
        .on_rejection = &make_rejection_answer};
    callers_ = GODWIT_TRY(http::server::create(
        io_,
        std::move(callers),
        [this](http::exchange& caller) -> asio::awaitable<void> {
            co_await calls_.serve(caller);
        }));
    readiness_ = GODWIT_TRY(http::server::create(
        io_,
        http::server_settings{context_.settings.readiness, {}, {}},
        [this](http::exchange& asked) -> asio::awaitable<void> {
            co_await answer_readiness(asked);
        }));
    operators_ = GODWIT_TRY(http::server::create(
        io_,
        http::server_settings{context_.settings.operators, {}, {}},
        [this](http::exchange& asked) -> asio::awaitable<void> {
            co_await answer_operator(asked);
        }));
    neighbours_ = GODWIT_TRY(neighbour_links::create(
        io_.get_executor(),
        context_.settings,
        neighbour_handlers{
            [this] { return greeting(); },
            [this](
                const std::shared_ptr<wire::link>& from, wire::message said) {
                hear(from, std::move(said));
            }}));
    return {};
}

void entry_process::start()
{
    boost::system::error_code ignored;
    signals_.add(SIGTERM, ignored);
    signals_.add(SIGINT, ignored);
    signals_.add(SIGHUP, ignored);
    wait_for_signal();
    context_.tell = [this](const wire::message& said) {
        neighbours_->broadcast(said);
    };
    context_.on_work_added = [this] {
        tell_work_soon();
    };
    neighbours_->start();
    tick();
    log_event(
        log_level::info,
        component,
        "start",
        {{"callers", context_.settings.callers.to_string()},
         {"operators", context_.settings.operators.to_string()}});
}

bool entry_process::is_ready() const noexcept
{
    return context_.routes && has_servers_ && !context_.is_stopping;
}

asio::awaitable<void> entry_process::answer_readiness(http::exchange& asked)
{
    constexpr unsigned ok = 200;
    constexpr unsigned unavailable = 503;
    const bool ready = is_ready();
    if (ready != was_ready_)
        log_event(log_level::info, component, "readiness", {{"ready", ready}});
    was_ready_ = ready;
    http::response answer;
    answer.status = ready ? ok : unavailable;
    answer.fields.set("Content-Type", "text/plain");
    answer.body = ready ? "ready\n" : "not ready\n";
    [[maybe_unused]] const auto sent =
        co_await asked.respond(std::move(answer));
}

void entry_process::set_gauges()
{
    const auto set = [this](const char* name, const char* help, double value) {
        context_.metrics->gauge(name, help).Set(value);
    };
    set("godwit_table_version",
        "The version of the route table in force; 0 before the first.",
        context_.routes ? static_cast<double>(context_.routes->version()) : 0);
    set("godwit_servers_known",
        "Backend servers that are known, with those that left lately.",
        static_cast<double>(context_.directory.size()));
    set("godwit_streams_running",
        "Streams that are being relayed.",
        static_cast<double>(context_.streams.size()));
    set("godwit_requests_waiting",
        "Requests that wait for room at the backend servers.",
        static_cast<double>(context_.line.size()));
    set("godwit_neighbours_linked",
        "Entry hosts with an open link.",
        static_cast<double>(neighbours_->open_links()));
    set("godwit_server_list_current",
        "1 while this host reads the list of servers at its source.",
        outage_.is_current() ? 1 : 0);
}

std::string entry_process::state_text() const
{
    boost::json::object state;
    state["host"] = context_.settings.host.value();
    state["ready"] = is_ready();
    state["stopping"] = context_.is_stopping;
    state["table_version"] = context_.routes ? context_.routes->version() : 0;
    state["servers"] = context_.directory.size();
    state["streams"] = context_.streams.size();
    state["waiting"] = context_.line.size();
    state["connections"] = callers_->open_connections();
    return boost::json::serialize(state);
}

asio::awaitable<void> entry_process::answer_operator(http::exchange& asked)
{
    constexpr unsigned not_found = 404;
    http::response answer;
    answer.fields.set("Content-Type", "application/json");
    if (asked.received().target == "/state") {
        answer.body = state_text();
    } else if (asked.received().target == "/metrics") {
        set_gauges();
        answer.fields.set("Content-Type", telemetry::metrics::content_type);
        answer.body = context_.metrics->serialise();
    } else {
        answer.status = not_found;
        answer.body = R"({"title":"no such page; ask for /state or /metrics"})";
    }
    [[maybe_unused]] const auto sent =
        co_await asked.respond(std::move(answer));
}

void entry_process::take_table(const std::string& text, std::string_view source)
{
    const auto routes = context_.words.read_table(text);
    if (!routes) {
        log_event(
            log_level::error,
            component,
            "table_refused",
            {{"source", source}, {"cause", routes.error().to_string()}});
        return;
    }
    const std::uint64_t version = (*routes)->version();
    const std::uint64_t before =
        context_.routes ? context_.routes->version() : 0;
    if (context_.routes && version <= before)
        return;
    const auto& content = (*routes)->content();
    callers_->set_limits(
        caller_limits(content.limits, context_.settings.caller_connections));
    log_event(
        log_level::info,
        component,
        "routes_in_force",
        {{"version", version},
         {"before", before},
         {"source", source},
         {"routes", content.routes.size()},
         {"organisations", content.organisations.size()}});
    context_.routes = *routes;
    table_text_ = text;
    neighbours_->broadcast(wire::catalogue_position{version, 0});
    context_.line.wake();
}

void entry_process::server_listed(
    const placement::backend_server& server, std::string_view source)
{
    const core::time_point now = core::monotonic_now();
    const auto change = context_.directory.listed(server, now);
    if (change == placement::directory_change::left)
        left(server.id, source);
    if (change != placement::directory_change::appeared)
        return;
    changed_servers_.insert(server.id);
    context_.connections->forget(server.address);
    log_event(
        log_level::info,
        component,
        "server_appeared",
        {{"server", server.id},
         {"service", server.service},
         {"address", server.address.to_string()},
         {"source", source}});
    context_.line.wake();
}

void entry_process::server_delisted(
    const placement::server_id& server, std::string_view source)
{
    const core::time_point now = core::monotonic_now();
    const auto change =
        context_.directory.delisted(server, outage_.source(now), now);
    if (change == placement::directory_change::left)
        left(server, source);
}

void entry_process::left(
    const placement::server_id& server, std::string_view source)
{
    log_event(
        log_level::info,
        component,
        "server_left",
        {{"server", server}, {"source", source}});
    // At once, and on from host to host: the notice is short.
    changed_servers_.insert(server);
    tell_servers();
    context_.health.forget(server);
    context_.streams.server_leaves(server);
}

void entry_process::set_source_current(bool is_current)
{
    const core::time_point now = core::monotonic_now();
    outage_.set_current(is_current, now);
    const bool is_steady =
        outage_.source(now) == placement::source_state::steady;
    log_event(
        log_level::info,
        component,
        "server_list",
        {{"current", is_current}, {"steady", is_steady}});
}

void entry_process::servers_are_known()
{
    has_servers_ = true;
}

void entry_process::set_hosts(const std::vector<known_host>& hosts)
{
    context_.budgets.set_hosts(hosts.size());
    fleet_size_ = hosts.size();
    if (hosts.size() > full_mesh)
        context_.zones.set_heard({context_.settings.zone});
    neighbours_->set_hosts(hosts);
}

std::vector<wire::message> entry_process::greeting() const
{
    std::vector<wire::message> said;
    if (context_.routes)
        said.emplace_back(
            wire::catalogue_position{context_.routes->version(), 0});
    if (outage_.is_current())
        said.emplace_back(servers_to_tell());
    said.emplace_back(work_to_tell());
    return said;
}

wire::listed_servers entry_process::servers_to_tell() const
{
    wire::listed_servers said;
    for (const auto& id : context_.directory.ids())
        said.servers.push_back(server_to_tell(id));
    return said;
}

wire::listed_server
entry_process::server_to_tell(const placement::server_id& id) const
{
    const placement::backend_server& known = *context_.directory.find(id);
    const bool is_leaving = !context_.directory.is_usable(id);
    return wire::listed_server{
        id.value(),
        core::server_address(known.address.to_string()),
        known.zone,
        known.service,
        known.slots,
        is_leaving ? wire::server_state::leaving : wire::server_state::live,
        known.revision};
}

wire::host_work entry_process::work_to_tell() const
{
    wire::host_work said;
    for (const auto& [server, work] : context_.ledger.own())
        said.work.push_back(wire::server_work{
            server.value(), work.requests, work.tokens, work.unread_tokens});
    said.reads_list = outage_.is_current();
    const core::time_point now = core::monotonic_now();
    if (const auto reader = first_reader(); reader && !said.reads_list) {
        said.reader = reader->value();
        said.reader_age_ms = age_ms(now - readers_.at(*reader));
    } else if (reader && *reader < context_.settings.host) {
        said.reader = reader->value();
        said.reader_age_ms = age_ms(now - readers_.at(*reader));
    }
    said.zone_tokens = own_zone_tokens();
    return said;
}

void entry_process::tell_servers()
{
    if (changed_servers_.empty())
        return;
    wire::listed_servers said;
    for (const auto& id : std::exchange(changed_servers_, {})) {
        if (context_.directory.find(id) != nullptr)
            said.servers.push_back(server_to_tell(id));
    }
    neighbours_->broadcast(said);
}

// The mean over the engines of the own zone of what all hosts have there, as
// far as this one hears them.
std::uint64_t entry_process::own_zone_tokens() const
{
    const core::time_point now = core::monotonic_now();
    std::uint64_t sum = 0;
    std::uint64_t engines = 0;
    for (const auto& id : context_.directory.ids()) {
        const placement::backend_server& server = *context_.directory.find(id);
        if (!context_.directory.is_usable(id) ||
            server.zone != context_.settings.zone || !is_engine(server.service))
            continue;
        sum += context_.ledger.at(id, now).tokens;
        ++engines;
    }
    return engines == 0 ? 0 : sum / engines;
}

bool entry_process::is_engine(const core::service_name& name) const
{
    const routing::service* service =
        context_.routes ? context_.routes->find_service(name) : nullptr;
    return service != nullptr && service->engine.has_value();
}

// New requests at a server that hangs would be lost with those that run.
void entry_process::avoid_silent_servers()
{
    const core::time_point now = core::monotonic_now();
    for (const auto& id : context_.streams.silent_servers(silent_span, now)) {
        if (context_.health.is_avoided(id, now))
            continue;
        context_.health.unreachable(id, now);
        log_event(
            log_level::info, component, "server_silent", {{"server", id}});
    }
}

// While the list cannot be read, each host asks the servers of its own streams
// often. While it can, the quick reader asks every engine now and then for
// all: the list may be held up without a sign, since it says something only
// when an entry changes.
void entry_process::poll_reports()
{
    const core::time_point now = core::monotonic_now();
    const bool is_current = outage_.is_current();
    if (now - polled_at_ < (is_current ? doubt_span : report_span))
        return;
    polled_at_ = now;
    if (!is_current)
        reports_.poll_own();
    else if (is_quick_reader())
        reports_.poll_all();
}

void entry_process::tell_work()
{
    const core::time_point now = core::monotonic_now();
    wire::host_work said = work_to_tell();
    // Runs grow with each event; that alone may wait.
    if (is_same_but_growth(said, told_work_) &&
        now - told_work_at_ < work_refresh)
        return;
    neighbours_->broadcast(said);
    told_work_ = std::move(said);
    told_work_at_ = now;
}

// At once, so that hosts which choose within milliseconds of each other do
// not all choose the server that was the emptiest; what ends may wait for the
// next tick.
void entry_process::tell_work_soon()
{
    if (std::exchange(is_telling_work_, true))
        return;
    asio::post(io_, [this] {
        is_telling_work_ = false;
        tell_work();
    });
}

void entry_process::hear(
    const std::shared_ptr<wire::link>& from, wire::message said)
{
    const wire::hello& peer = *from->peer();
    if (const auto* newest = std::get_if<wire::catalogue_position>(&said))
        hear_version(from, newest->next_offset);
    else if (std::holds_alternative<wire::pull>(said))
        tell_table(*from);
    else if (const auto* table = std::get_if<wire::table_document>(&said))
        hear_table(peer.host, *table);
    else if (const auto* servers = std::get_if<wire::listed_servers>(&said))
        hear_servers(peer.host, *servers);
    else if (const auto* work = std::get_if<wire::host_work>(&said))
        hear_work(peer, *work);
    else if (const auto* sign = std::get_if<wire::server_sign>(&said))
        hear_sign(peer.host, *sign);
    else if (const auto* claim = std::get_if<wire::link_claim>(&said))
        hear_claim(peer.host, *claim);
}

// A neighbour has a version. The table itself is large, and the store brings
// it to nearly every host by itself: sent to every neighbour it kept the
// links of small hosts busy for a second. Only who still lacks it after a
// while asks for it.
void entry_process::hear_version(
    const std::shared_ptr<wire::link>& from, std::uint64_t version)
{
    const auto has = [this, version] {
        return context_.routes && context_.routes->version() >= version;
    };
    if (has())
        return;
    const auto timer =
        std::make_shared<asio::steady_timer>(io_, table_patience);
    timer->async_wait([has, version, from, timer](const auto& failure) {
        if (!failure && !has() && from->is_open())
            from->send(wire::pull{version});
    });
}

void entry_process::tell_table(wire::link& to) const
{
    if (context_.routes)
        to.send(wire::table_document{context_.routes->version(), table_text_});
}

void entry_process::hear_table(
    const core::host_name& host, const wire::table_document& said)
{
    if (!context_.routes || said.version > context_.routes->version())
        take_table(said.text, host.value());
}

void entry_process::hear_claim(
    const core::host_name& host, const wire::link_claim& said)
{
    const core::duration hold = std::min<core::duration>(
        std::chrono::milliseconds(said.hold_ms), longest_link_claim);
    std::vector<placement::server_id> servers;
    for (const std::string& id : said.servers)
        servers.emplace_back(id);
    context_.claims.hear(
        host, std::move(servers), core::monotonic_now() + hold);
}

// A neighbour asked the server itself.
void entry_process::hear_sign(
    const core::host_name& host, const wire::server_sign& said)
{
    if (said.kind != wire::sign_kind::leaving)
        return;
    for (const auto& id : context_.directory.ids()) {
        placement::backend_server known = *context_.directory.find(id);
        const bool is_meant = context_.directory.is_usable(id) &&
                              known.address.to_string() == said.address.value();
        if (!is_meant)
            continue;
        known.state = placement::server_state::leaving;
        server_listed(known, host.value());
    }
}

void entry_process::hear_servers(
    const core::host_name& host, const wire::listed_servers& said)
{
    for (const wire::listed_server& one : said.servers) {
        const auto address = http::endpoint::parse(one.address.value());
        if (!address)
            continue;
        const bool is_leaving = one.state != wire::server_state::live;
        server_listed(
            placement::backend_server{
                placement::server_id(one.id),
                one.service,
                *address,
                one.zone,
                one.slots,
                is_leaving ? placement::server_state::leaving
                           : placement::server_state::ready,
                one.revision},
            host.value());
    }
    has_servers_ = true;
}

// Which host reads the list at the quick pace: the first by name of those
// that read it now. When it falls silent the next one takes over; meanwhile
// everybody's own slow reads go on.
bool entry_process::is_quick_reader() const
{
    const auto reader = first_reader();
    return !reader || *reader >= context_.settings.host;
}

std::optional<core::host_name> entry_process::first_reader() const
{
    const core::time_point now = core::monotonic_now();
    for (const auto& [host, heard_at] : readers_) {
        if (now - heard_at < reader_lifetime)
            return host;
    }
    return std::nullopt;
}

void entry_process::hear_reader(
    const core::host_name& host, const wire::host_work& said)
{
    const core::time_point now = core::monotonic_now();
    if (said.reads_list)
        readers_[host] = now;
    else
        readers_.erase(host);
    const core::host_name told(said.reader);
    if (told.empty() || told == host || told == context_.settings.host)
        return;
    const core::time_point told_at =
        now - std::chrono::milliseconds(said.reader_age_ms);
    const auto known = readers_.find(told);
    if (known == readers_.end() || known->second < told_at)
        readers_[told] = told_at;
}

void entry_process::hear_work(
    const wire::hello& peer, const wire::host_work& said)
{
    const core::host_name& host = peer.host;
    hear_reader(host, said);
    context_.zones.hear(peer.zone, said.zone_tokens, core::monotonic_now());
    if (said.reads_list)
        outage_.neighbour_reads(core::monotonic_now());
    std::vector<placement::server_work> word;
    word.reserve(said.work.size());
    for (const wire::server_work& one : said.work)
        word.push_back(placement::server_work{
            placement::server_id(one.server),
            placement::work_size{one.requests, one.tokens, one.unread_tokens}});
    context_.ledger.neighbour_says(host, word, core::monotonic_now());
}

void entry_process::tick()
{
    for (const auto& gone : context_.directory.expire(core::monotonic_now()))
        left(gone, "lapsed");
    context_.line.wake();
    tell_servers();
    tell_work();
    avoid_silent_servers();
    poll_reports();
    tick_timer_.expires_after(tick_span);
    tick_timer_.async_wait([this](const auto& failure) {
        if (!failure)
            tick();
    });
}

void entry_process::wait_for_signal()
{
    signals_.async_wait([this](const auto& failure, int number) {
        if (failure)
            return;
        on_signal(number);
        wait_for_signal();
    });
}

void entry_process::on_signal(int number)
{
    log_event(log_level::info, component, "signal", {{"number", number}});
    if (number == SIGHUP || context_.is_stopping)
        return;
    begin_stop();
}

// Readiness fails at once and each answer ends its connection, so that
// callers move away; new connections are served until the balancer has
// noticed, and what runs is served to its end.
void entry_process::begin_stop()
{
    context_.is_stopping = true;
    stop_began_ = core::monotonic_now();
    callers_->announce_close();
    log_event(
        log_level::info,
        component,
        "stop",
        {{"requests", callers_->active_exchanges()}});
    watch_stop();
}

void entry_process::watch_stop()
{
    const core::duration since = core::monotonic_now() - stop_began_;
    if (since >= accepting_after_stop)
        callers_->stop_accepting();
    const bool is_idle =
        since >= accepting_after_stop && callers_->open_connections() == 0;
    if (is_idle || since >= context_.settings.stop_grace - exit_margin) {
        log_event(
            log_level::info,
            component,
            "end",
            {{"requests_cut", callers_->active_exchanges()}});
        io_.stop();
        return;
    }
    stop_timer_.expires_after(stop_watch_span);
    stop_timer_.async_wait([this](const auto& failure) {
        if (!failure)
            watch_stop();
    });
}

} // namespace godwit::entry
