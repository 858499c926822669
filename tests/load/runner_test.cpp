#include <godwit/fakes/generation_text.hpp>
#include <godwit/http/server.hpp>
#include <godwit/http/server_sent_event.hpp>
#include <godwit/load/outside_view.hpp>
#include <godwit/load/report.hpp>
#include <godwit/load/runner.hpp>

#include <boost/asio/io_context.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <string>
#include <thread>

#include <sys/wait.h>

namespace {

using namespace godwit::load;
using godwit::fakes::token_text;
using namespace godwit::http;

const std::string prompt = "p length=4";

/// An entry host that answers by script.
class scripted_entry
{
public:
    explicit scripted_entry(exchange_handler handler)
    {
        server_settings settings{
            endpoint::parse("127.0.0.1:0").value(), {}, {}};
        server_ =
            server::create(context_, std::move(settings), std::move(handler))
                .value();
        thread_ = std::thread([this] { context_.run(); });
    }

    ~scripted_entry()
    {
        context_.stop();
        thread_.join();
    }

    scripted_entry(const scripted_entry&) = delete;
    scripted_entry& operator=(const scripted_entry&) = delete;

    [[nodiscard]] const endpoint& address() const { return server_->address(); }

private:
    boost::asio::io_context context_{1};
    std::unique_ptr<server> server_;
    std::thread thread_;
};

std::string token_event(std::uint64_t position)
{
    server_sent_event event;
    event.id = "resume-" + std::to_string(position);
    event.data = "{\"choices\":[{\"index\":0,\"text\":\"" +
                 token_text(prompt, position) + "\"}]}";
    return format_event(event);
}

std::string token_events(std::uint64_t from, std::uint64_t to)
{
    std::string out;
    for (std::uint64_t at = from; at < to; ++at)
        out += token_event(at);
    return out;
}

const std::string done = "data: [DONE]\n\n";

/// Streams one text, whole or cut.
boost::asio::awaitable<void>
stream(exchange& current, std::string text, bool is_whole)
{
    auto sent = co_await current.start_stream(200, {});
    if (sent)
        sent = co_await current.write_chunk(std::move(text));
    if (sent && is_whole)
        sent = co_await current.finish_stream();
}

boost::asio::awaitable<void>
answer(exchange& current, unsigned status, std::string body)
{
    response whole;
    whole.status = status;
    whole.body = std::move(body);
    const auto sent = co_await current.respond(std::move(whole));
    (void)sent;
}

class runner_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(runner_test);
    CPPUNIT_TEST(test_whole_stream);
    CPPUNIT_TEST(test_broken_stream);
    CPPUNIT_TEST(test_reconnects_where_it_stopped);
    CPPUNIT_TEST(test_doubled_token_after_reconnect);
    CPPUNIT_TEST(test_error_event);
    CPPUNIT_TEST(test_refusal);
    CPPUNIT_TEST(test_names_the_class);
    CPPUNIT_TEST(test_calls);
    CPPUNIT_TEST(test_crossed_call);
    CPPUNIT_TEST(test_silence_ends_with_patience);
    CPPUNIT_TEST(test_passes_dead_entry_hosts);
    CPPUNIT_TEST(test_bound_in_flight);
    CPPUNIT_TEST(test_sums_counters);
    CPPUNIT_TEST(test_report);
    CPPUNIT_TEST(test_exit_code);
    CPPUNIT_TEST_SUITE_END();

    static planned_request stream_request()
    {
        planned_request planned;
        planned.kind = request_class::long_stream;
        planned.text = prompt;
        planned.max_tokens = 100;
        return planned;
    }

    static run_settings settings_for(const scripted_entry& entry)
    {
        run_settings settings;
        settings.callers = {entry.address()};
        settings.tokens = {"secret"};
        settings.model = "m";
        settings.service = "s";
        settings.patience = std::chrono::seconds(10);
        return settings;
    }

    static request_record run_one(
        exchange_handler handler,
        const planned_request& planned = stream_request(),
        reconnection on_break = reconnection::never)
    {
        const scripted_entry entry(std::move(handler));
        run_settings settings = settings_for(entry);
        settings.on_break = on_break;
        return run_plan(settings, {planned}).front();
    }

    void test_whole_stream()
    {
        const auto record = run_one([](exchange& current) {
            const bool is_known =
                current.received().fields.find("Authorization") ==
                std::string_view("Bearer secret");
            std::string text = token_events(0, is_known ? 4 : 0) + done;
            return stream(current, std::move(text), true);
        });
        CPPUNIT_ASSERT(record.outcome == request_outcome::completed);
        CPPUNIT_ASSERT(record.fault == answer_fault::none);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, record.tokens);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, record.gaps.size());
        CPPUNIT_ASSERT(record.first_text);
        CPPUNIT_ASSERT(record.stall >= *record.first_text);
    }

    void test_broken_stream()
    {
        const auto record = run_one([](exchange& current) {
            return stream(current, token_events(0, 2), false);
        });
        CPPUNIT_ASSERT(record.outcome == request_outcome::broken);
        CPPUNIT_ASSERT(record.fault == answer_fault::none);
        const auto ended = run_one([](exchange& current) {
            return stream(current, token_events(0, 4), true);
        });
        CPPUNIT_ASSERT(ended.outcome == request_outcome::broken);
        CPPUNIT_ASSERT_EQUAL(std::string("ended_without_done"), ended.reason);
    }

    void test_reconnects_where_it_stopped()
    {
        const auto record = run_one(
            [](exchange& current) {
                const auto last =
                    current.received().fields.find("Last-Event-ID");
                if (!last)
                    return stream(current, token_events(0, 2), false);
                CPPUNIT_ASSERT(*last == "resume-1");
                std::string rest = token_events(2, 4) + done;
                return stream(current, std::move(rest), true);
            },
            stream_request(),
            reconnection::with_last_event);
        CPPUNIT_ASSERT(record.outcome == request_outcome::completed);
        CPPUNIT_ASSERT(record.fault == answer_fault::none);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, record.reconnects);
    }

    void test_doubled_token_after_reconnect()
    {
        const auto record = run_one(
            [](exchange& current) {
                const bool again =
                    current.received().fields.find("Last-Event-ID").has_value();
                std::string text =
                    again ? token_events(1, 4) + done : token_events(0, 2);
                return stream(current, std::move(text), again);
            },
            stream_request(),
            reconnection::with_last_event);
        CPPUNIT_ASSERT(record.fault == answer_fault::doubled);
    }

    void test_error_event()
    {
        const auto record = run_one([](exchange& current) {
            std::string text =
                token_events(0, 2) +
                "event: error\ndata: {\"outcome\":\"interrupted\","
                "\"reason\":\"engine_lost\"}\n\n";
            return stream(current, std::move(text), true);
        });
        CPPUNIT_ASSERT(record.outcome == request_outcome::interrupted);
        CPPUNIT_ASSERT(record.fault == answer_fault::none);
        const auto denied = run_one([](exchange& current) {
            std::string text = token_events(0, 2) +
                               "event: error\ndata: {\"outcome\":\"not_run\"}"
                               "\n\n";
            return stream(current, std::move(text), true);
        });
        CPPUNIT_ASSERT(denied.fault == answer_fault::denied);
    }

    void test_refusal()
    {
        const auto record = run_one([](exchange& current) {
            return answer(
                current,
                429,
                "{\"outcome\":\"not_run\",\"reason\":\"queue_full\"}");
        });
        CPPUNIT_ASSERT(record.outcome == request_outcome::not_run);
        CPPUNIT_ASSERT_EQUAL(std::string("429/queue_full"), record.reason);
    }

    void test_names_the_class()
    {
        const scripted_entry entry([](exchange& current) {
            const bool is_named =
                current.received().body.text().find("\"class\":\"report\"") !=
                std::string::npos;
            std::string text = token_events(0, is_named ? 4 : 0) + done;
            return stream(current, std::move(text), true);
        });
        run_settings settings = settings_for(entry);
        settings.short_class = "interactive";
        CPPUNIT_ASSERT(
            run_plan(settings, {stream_request()}).front().fault ==
            answer_fault::cut);
        settings.long_class = "report";
        CPPUNIT_ASSERT(
            run_plan(settings, {stream_request()}).front().fault ==
            answer_fault::none);
    }

    static planned_request booking()
    {
        planned_request planned;
        planned.kind = request_class::booking;
        planned.text = "{\"book\":\"1\"}";
        planned.key = "k";
        return planned;
    }

    void test_calls()
    {
        const auto record = run_one(
            [](exchange& current) {
                const auto& fields = current.received().fields;
                const bool is_right =
                    current.received().target == "/v1/services/s/booking" &&
                    fields.find("Idempotency-Key") == std::string_view("k") &&
                    fields.find("Godwit-Repeatable") == std::string_view("no");
                return answer(
                    current,
                    is_right ? 200 : 400,
                    "{\"key\":\"k\",\"echo\":\"{\\\"book\\\":\\\"1\\\"}\"}");
            },
            booking());
        CPPUNIT_ASSERT(record.outcome == request_outcome::completed);
        CPPUNIT_ASSERT(record.fault == answer_fault::none);
    }

    void test_crossed_call()
    {
        const auto record = run_one(
            [](exchange& current) {
                return answer(
                    current, 200, "{\"key\":\"k\",\"echo\":\"other\"}");
            },
            booking());
        CPPUNIT_ASSERT(record.fault == answer_fault::crossed);
    }

    static boost::asio::awaitable<void> say_nothing(exchange& current)
    {
        co_await current.caller_gone();
    }

    void test_silence_ends_with_patience()
    {
        const scripted_entry entry(&say_nothing);
        run_settings settings = settings_for(entry);
        settings.patience = std::chrono::milliseconds(50);
        const auto records = run_plan(settings, {stream_request(), booking()});
        for (const request_record& record : records) {
            CPPUNIT_ASSERT(record.outcome == request_outcome::timed_out);
            CPPUNIT_ASSERT(record.stall >= std::chrono::milliseconds(40));
        }
    }

    void test_passes_dead_entry_hosts()
    {
        const auto right = [](exchange& current) {
            if (current.received().target == "/v1/completions")
                return stream(current, token_events(0, 4) + done, true);
            return answer(
                current,
                200,
                "{\"key\":\"k\",\"echo\":\"{\\\"book\\\":\\\"1\\\"}\"}");
        };
        const scripted_entry alive(right);
        run_settings settings = settings_for(alive);
        {
            // A port that was free a moment ago.
            const scripted_entry dead(right);
            settings.callers.insert(settings.callers.begin(), dead.address());
        }
        for (const request_record& record :
             run_plan(settings, {stream_request(), booking()})) {
            CPPUNIT_ASSERT(record.outcome == request_outcome::completed);
            CPPUNIT_ASSERT(record.fault == answer_fault::none);
        }
    }

    void test_bound_in_flight()
    {
        const scripted_entry entry(&say_nothing);
        run_settings settings = settings_for(entry);
        settings.patience = std::chrono::milliseconds(50);
        settings.in_flight = 1;
        const auto records =
            run_plan(settings, {booking(), booking(), booking()});
        CPPUNIT_ASSERT(records[0].outcome == request_outcome::timed_out);
        CPPUNIT_ASSERT(records[1].outcome == request_outcome::not_sent);
        CPPUNIT_ASSERT(records[2].outcome == request_outcome::not_sent);
    }

    void test_sums_counters()
    {
        const std::string metrics = "# HELP x_total x\n"
                                    "x_total{a=\"b c\"} 2\n"
                                    "x_total{a=\"d\"} 3\n"
                                    "x_total_more 100\n"
                                    "y_total 7\nx_total 1.5e1";
        CPPUNIT_ASSERT_EQUAL(20.0, sum_counter(metrics, "x_total"));
    }

    void test_report()
    {
        request_record good;
        good.outcome = request_outcome::completed;
        good.tokens = 3;
        good.stall = std::chrono::milliseconds(7);
        request_record bad = good;
        bad.kind = request_class::booking;
        bad.fault = answer_fault::twice;
        bad.detail = "a booking";
        run_summary summary = run_summary::of({good, bad});
        summary.preemptions = 5;
        summary.parameters.mix = "predavka";
        CPPUNIT_ASSERT(summary.has_fault());
        const std::string json = to_json(summary);
        for (const char* part :
             {"\"mix\":\"predavka\"",
              "\"faults\":{\"twice\":1}",
              "\"preemptions\":5",
              "\"fault_details\":[\"twice: a booking\"]",
              "\"requests\":2,\"tokens\":6"})
            CPPUNIT_ASSERT_MESSAGE(json, json.find(part) != std::string::npos);
        const std::string table = to_table(summary);
        CPPUNIT_ASSERT(table.find("FAULT twice: 1") != std::string::npos);
        CPPUNIT_ASSERT(
            to_table(run_summary::of({good})).find("no wrong answer") !=
            std::string::npos);
    }

    /// The exit code of the program against an entry host whose streams and
    /// calls answer one text.
    static int exit_code_for(const std::string& options, std::string text)
    {
        const scripted_entry entry(
            [text](exchange& current) { return answer(current, 200, text); });
        const std::string command =
            std::string(GODWIT_PROGRAM_FOLDER) + "/godwit-load --callers " +
            "http://" + entry.address().to_string() + " --token t " +
            "--rate 50 --seconds 1 --patience 10 " + options +
            " >/dev/null 2>&1";
        return WEXITSTATUS(std::system(command.c_str()));
    }

    void test_exit_code()
    {
        // Answers that are none are wrong; an answer without an outcome is
        // no fault of the text.
        CPPUNIT_ASSERT_EQUAL(1, exit_code_for("", "{}"));
        CPPUNIT_ASSERT_EQUAL(2, exit_code_for("--mix x", "{}"));
        CPPUNIT_ASSERT_EQUAL(2, exit_code_for("--rate 0", "{}"));
        CPPUNIT_ASSERT_EQUAL(2, exit_code_for("--unknown 0", "{}"));
        CPPUNIT_ASSERT_EQUAL(0, exit_code_for("--help", "{}"));
        CPPUNIT_ASSERT_EQUAL(0, exit_code_for("--reconnect --seconds 0", ""));
        CPPUNIT_ASSERT_EQUAL(2, exit_code_for("--reconnect yes", ""));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(runner_test);

} // namespace
