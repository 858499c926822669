// The connection breaks at every step of two attempts, on the decisions
// themselves: `not_run` is said exactly if no byte was handed over, or the
// backend server declined whatever was.

#include <godwit/request/life.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace {

using namespace godwit::request;
using godwit::core::outcome;
using godwit::core::time_point;
using std::chrono::seconds;

// How far one attempt gets before its connection breaks.
enum class progress
{
    refused,
    connected,
    first_byte,
    sent,
    declined,
    head,
    one_token,
    all_tokens,
};

constexpr int progress_count = 8;

// One request whose attempts break where they are told to.
class broken_request
{
public:
    explicit broken_request(const accepted& request)
        : budget_(retry_budget::create({1, 100, 100}, now_).value()),
          life_(life::create({}, godwit::core::request_id("r"), budget_, 1)
                    .value())
    {
        feed(request);
        if (request.key)
            feed(claim_won{now_ + seconds(1000)});
    }

    // Runs one attempt that dispatch grants.
    void attempt(progress until)
    {
        if (life_.finished())
            return;
        feed(granted{ask_, godwit::core::server_address("e"), 0});
        if (until == progress::refused)
            return feed(connect_failed{connection_, true});
        feed(connected{connection_});
        if (until > progress::connected) {
            may_have_run_ = may_have_run_ || until != progress::declined;
            feed(first_byte_handed_over{connection_});
        }
        if (until > progress::first_byte)
            feed(request_sent{connection_});
        if (until == progress::declined) {
            return feed(
                answer_head{connection_, 503, "", start_state::not_started});
        }
        const auto generation =
            generation_.empty() ? life_.id().value() : generation_.value();
        if (until >= progress::head)
            feed(answer_head{connection_, 200, generation, {}});
        if (until >= progress::one_token && !generation_.empty())
            feed(tokens_arrived{connection_, generation_, 0, 1, {}});
        if (until == progress::all_tokens && !generation_.empty())
            feed(tokens_arrived{
                connection_, generation_, 1, 1, token_finish::last});
        feed(link_broken{connection_});
    }

    // Nothing answers any more, and dispatch has nothing to give.
    void end()
    {
        constexpr int patience = 100;
        for (int times = 0; times < patience && !life_.finished(); ++times) {
            now_ += seconds(30);
            feed(timer_fired{timer::retry});
            feed(connect_failed{connection_, true});
            feed(dispatch_refused{ask_, refusal::crowded, {}});
            feed(delivered_to_caller{});
        }
    }

    void next()
    {
        constexpr int patience = 10;
        const auto asked = ask_;
        for (int times = 0; times < patience && ask_ == asked; ++times) {
            now_ += seconds(2);
            feed(timer_fired{timer::retry});
            feed(connect_failed{connection_, true});
        }
    }

    [[nodiscard]] std::optional<outcome> result() const
    {
        return life_.result();
    }

    [[nodiscard]] bool may_have_run() const { return may_have_run_; }

    [[nodiscard]] int sends() const { return sends_; }

private:
    void feed(const event& what)
    {
        for (const auto& done : life_.handle(what, now_)) {
            if (const auto* asked = std::get_if<ask_dispatch>(&done))
                ask_ = asked->ask;
            if (const auto* to = std::get_if<connect_to>(&done))
                connection_ = to->connection;
            if (const auto* send = std::get_if<send_request>(&done)) {
                generation_ = send->generation;
                ++sends_;
            }
        }
    }

    time_point now_{seconds(1000)};
    retry_budget budget_;
    life life_;
    std::uint32_t ask_ = 0;
    std::uint32_t connection_ = 0;
    godwit::core::generation_id generation_;
    bool may_have_run_ = false;
    int sends_ = 0;
};

accepted request_of(int variant)
{
    accepted made;
    if ((variant & 1) != 0)
        made.kind = request_kind::service_call;
    if ((variant & 2) != 0)
        made.mode = answer_mode::whole;
    if ((variant & 4) != 0)
        made.repeat = repeatability::not_repeatable;
    if ((variant & 12) == 12)
        made.key = godwit::core::idempotency_key("k");
    return made;
}

class break_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(break_test);
    CPPUNIT_TEST(test_not_run_is_exact_at_every_break);
    CPPUNIT_TEST_SUITE_END();

    void test_not_run_is_exact_at_every_break()
    {
        constexpr int variants = 16;
        for (int variant = 0; variant < variants; ++variant) {
            for (int first = 0; first < progress_count; ++first) {
                for (int second = 0; second < progress_count; ++second)
                    judge(variant, first, second);
            }
        }
    }

    static void judge(int variant, int first, int second)
    {
        const auto request = request_of(variant);
        broken_request subject(request);
        subject.attempt(static_cast<progress>(first));
        subject.next();
        subject.attempt(static_cast<progress>(second));
        subject.end();
        const auto name = "variant " + std::to_string(variant) + " breaks at " +
                          std::to_string(first) + ", " + std::to_string(second);
        CPPUNIT_ASSERT_MESSAGE(name, subject.result().has_value());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            name,
            !subject.may_have_run(),
            subject.result() == outcome::not_run);
        const bool declined = first == static_cast<int>(progress::declined) ||
                              first <= static_cast<int>(progress::connected);
        if (request.repeat == repeatability::not_repeatable && !declined)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 1, subject.sends());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(break_test);

} // namespace
