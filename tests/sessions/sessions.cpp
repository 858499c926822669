// Golden files of whole sessions: each event and action of every request at
// both entry hosts, with its moment in virtual time. Without an argument the
// sessions are compared with the files; `--rewrite` writes the files.

#include "checker.hpp"
#include "world.hpp"

#include <godwit/request/describe.hpp>

#include <array>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

namespace {

using namespace godwit::faults;
using godwit::request::action;
using godwit::request::event;

struct named_session
{
    std::string_view name;
    cell what;
};

// Seeds from 4 on have a first ask that dispatch refuses.
const std::vector<named_session> sessions = {
    {"streamed", {workload::streamed, moment::accepted, {}, 0}},
    {"whole", {workload::whole, moment::accepted, {}, 0}},
    {"service_call", {workload::call, moment::accepted, {}, 0}},
    {"not_repeatable", {workload::booking, moment::accepted, {}, 0}},
    {"not_repeatable_at_two_hosts",
     {workload::doubled_booking, moment::accepted, {}, 0}},
    {"resume_after_link_cut",
     {workload::streamed, moment::mid_stream, {fault::link_cut}, 2}},
    {"caller_resumes_at_other_host",
     {workload::streamed, moment::mid_stream, {fault::process_dies}, 0}},
    {"engine_lost_before_first_token",
     {workload::streamed, moment::sent, {fault::engine_dies}, 0}},
    {"engine_lost_after_first_token",
     {workload::streamed, moment::mid_stream, {fault::engine_dies}, 0}},
    {"whole_engine_lost",
     {workload::whole, moment::mid_stream, {fault::engine_dies}, 0}},
    {"claim_while_log_is_down",
     {workload::booking, moment::accepted, {fault::log_down}, 0}},
    {"claim_answer_lost",
     {workload::booking, moment::accepted, {fault::append_answer_lost}, 0}},
    {"holder_dies_in_its_run",
     {workload::booking, moment::sent, {fault::process_dies}, 0}},
    {"answer_crossed",
     {workload::call, moment::sent, {fault::engine_crossed}, 0}},
    {"leaving_server",
     {workload::streamed, moment::connecting, {fault::leaving}, 0}},
    {"refused_by_queue", {workload::streamed, moment::accepted, {}, 4}},
    {"drain", {workload::streamed, moment::draining, {fault::leaving}, 0}},
    {"preempted",
     {workload::streamed, moment::mid_stream, {fault::engine_preempts}, 0}},
};

// Only the first callers' tries: the others repeat them.
constexpr std::size_t shown_tries = 4;

std::string transcript_of(const cell& what)
{
    std::ostringstream out;
    out << "# " << to_string(what) << "\n";
    world around(what);
    const auto start = around.clock.now();
    around.on_decided = [&](std::size_t host,
                            const session& one,
                            const event& happened,
                            const std::vector<action>& decided) {
        // A timer that was set again since then says nothing.
        const bool is_timer =
            std::holds_alternative<godwit::request::timer_fired>(happened);
        if (one.number >= shown_tries || (is_timer && decided.empty()))
            return;
        out << (around.clock.now() - start).count() << "us host=" << host
            << " request=" << one.life.id()
            << " step=" << to_string(one.life.current_step()) << "\n  event "
            << describe(happened) << "\n";
        for (const auto& done : decided)
            out << "  action " << describe(done) << "\n";
    };
    const auto seen = around.run();
    for (const auto& one : seen.tries) {
        constexpr std::array<std::string_view, 5> ends = {
            "open", "completed", "failed", "connection_lost", "left_by_caller"};
        out << "caller request=" << one.id
            << " end=" << ends.at(static_cast<std::size_t>(one.end))
            << " received=" << one.received.size() << "\n";
    }
    for (const auto& broken : broken_promises(seen))
        out << "BROKEN " << broken << "\n";
    return out.str();
}

std::string path_of(const named_session& one)
{
    return std::string(GODWIT_SESSION_FOLDER) + "/" + std::string(one.name) +
           ".txt";
}

bool rewrite(const named_session& one)
{
    std::ofstream file(path_of(one));
    file << transcript_of(one.what);
    return file.good();
}

bool matches(const named_session& one)
{
    std::ifstream file(path_of(one));
    const std::string golden(std::istreambuf_iterator<char>(file), {});
    const auto now = transcript_of(one.what);
    if (golden == now)
        return true;
    std::istringstream left(golden);
    std::istringstream right(now);
    std::string expected;
    std::string actual;
    int line = 0;
    do {
        ++line;
        if (!std::getline(left, expected))
            expected = "(end)";
        if (!std::getline(right, actual))
            actual = "(end)";
    } while (expected == actual && expected != "(end)");
    std::cerr << one.name << ": line " << line
              << " differs\n  golden: " << expected << "\n  now:    " << actual
              << "\nIf the change is meant, run test_sessions --rewrite and "
                 "review the difference.\n";
    return false;
}

} // namespace

int main(int argument_count, char** arguments)
{
    const bool rewrites =
        argument_count == 2 && std::string_view(arguments[1]) == "--rewrite";
    if (argument_count > 1 && !rewrites) {
        std::cerr << "usage: test_sessions [--rewrite]\n";
        return 2;
    }
    int failed = 0;
    for (const auto& one : sessions)
        failed += (rewrites ? rewrite(one) : matches(one)) ? 0 : 1;
    std::cout << "sessions=" << sessions.size() << " failed=" << failed << "\n";
    return failed == 0 ? 0 : 1;
}
