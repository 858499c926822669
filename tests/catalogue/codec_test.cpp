#include "catalogue_sample.hpp"

#include <godwit/catalogue/checkpoint_codec.hpp>
#include <godwit/core/random.hpp>

#include <boost/json/parse.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <fstream>
#include <sstream>

namespace {

using namespace godwit::catalogue;
using namespace godwit::catalogue::test;

std::string example()
{
    std::ifstream file(
        std::string(GODWIT_SOURCE_FOLDER) + "/docs/examples/catalogue.json");
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

class codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(codec_test);
    CPPUNIT_TEST(test_example_is_accepted);
    CPPUNIT_TEST(test_record_reads_back);
    CPPUNIT_TEST(test_entries_read_back);
    CPPUNIT_TEST(test_dispatch_knobs_read_back);
    CPPUNIT_TEST(test_dispatch_knobs_at_default_are_left_out);
    CPPUNIT_TEST(test_dispatch_knobs_are_checked);
    CPPUNIT_TEST(test_errors_name_path_and_remedy);
    CPPUNIT_TEST(test_damaged_text_never_crashes);
    CPPUNIT_TEST(test_checkpoint_reads_back);
    CPPUNIT_TEST(test_checkpoint_in_any_order);
    CPPUNIT_TEST(test_checkpoint_with_one_record_missing);
    CPPUNIT_TEST_SUITE_END();

    state_pointer state_ = state::empty();

    /// A state with every kind of content, in several checkpoint records.
    void fill()
    {
        fold_data(state_, example());
        fold_changes(
            state_, make_change_set("more", {make_class("interactive", 9)}));
        for (int n = 0; n < 400; ++n) {
            const auto name = "org-" + std::to_string(n);
            fold_changes(
                state_, make_change_set(name, {make_organisation(name)}));
        }
        fold_changes(
            state_,
            make_change_set(
                "delete",
                {make_deletion({entry_kind::organisation, "org-0"}, 3)}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state_->tombstones().size());
    }

    void test_example_is_accepted()
    {
        CPPUNIT_ASSERT(
            fold_data(state_, example()).kind == verdict_kind::accepted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, state_->entries().size());
    }

    void test_record_reads_back()
    {
        const auto changes = parse_change_file(example()).value();
        const auto again = parse_change_file(data_of(changes)).value();
        CPPUNIT_ASSERT(changes == again);
    }

    void test_entries_read_back()
    {
        fold_data(state_, example());
        for (const entry& each : state_->entries()) {
            const auto again = parse_entry(key_of(each).kind, to_json(each));
            CPPUNIT_ASSERT(again.value() == each);
        }
    }

    void assert_refused(
        const std::string& original,
        const std::string& replacement,
        const std::string& message)
    {
        std::string text = example();
        const auto at = text.find(original);
        CPPUNIT_ASSERT(at != std::string::npos);
        text.replace(at, original.size(), replacement);
        const auto refused = parse_change_file(text);
        CPPUNIT_ASSERT(!refused);
        CPPUNIT_ASSERT_EQUAL(message, refused.error().message());
        CPPUNIT_ASSERT(!refused.error().remedy().empty());
    }

    /// The example with `replacement` in place of the first `original`.
    static std::string
    example_with(const std::string& original, const std::string& replacement)
    {
        std::string text = example();
        const auto at = text.find(original);
        CPPUNIT_ASSERT(at != std::string::npos);
        return text.replace(at, original.size(), replacement);
    }

    void test_dispatch_knobs_read_back()
    {
        fold_data(
            state_,
            example_with(
                "\"weight\": 4", "\"longest_wait_ms\": 5000, \"weight\": 4"));
        const auto interactive =
            state_->find_class(godwit::core::request_class_name("interactive"));
        CPPUNIT_ASSERT(
            interactive->longest_wait == std::chrono::milliseconds(5000));
        const entry same(*interactive);
        CPPUNIT_ASSERT(
            parse_entry(entry_kind::request_class, to_json(same)).value() ==
            same);
        for (const std::uint32_t limit : {500U, 1150U, 2000U}) {
            state_ = state::empty();
            fold_data(
                state_,
                example_with(
                    "\"kind\": \"engine_pool\"",
                    "\"memory_overcommit_per_mille\": " +
                        std::to_string(limit) + ", \"kind\": \"engine_pool\""));
            const auto pool = state_->find_service(
                godwit::core::service_name("gazetteer-lm"));
            CPPUNIT_ASSERT_EQUAL(limit, pool->memory_overcommit_per_mille);
            const entry again(*pool);
            CPPUNIT_ASSERT(
                parse_entry(entry_kind::service, to_json(again)).value() ==
                again);
        }
    }

    void test_dispatch_knobs_at_default_are_left_out()
    {
        fold_data(state_, example());
        auto written = state::empty();
        fold_data(
            written,
            example_with(
                "\"weight\": 4", "\"longest_wait_ms\": 0, \"weight\": 4"));
        CPPUNIT_ASSERT_EQUAL(state_->hash(), written->hash());
        written = state::empty();
        fold_data(
            written,
            example_with(
                "\"kind\": \"engine_pool\"",
                "\"memory_overcommit_per_mille\": 1000, "
                "\"kind\": \"engine_pool\""));
        CPPUNIT_ASSERT_EQUAL(state_->hash(), written->hash());
        for (const entry& each : state_->entries()) {
            const auto object = to_json(each);
            CPPUNIT_ASSERT(!object.contains("longest_wait_ms"));
            CPPUNIT_ASSERT(!object.contains("memory_overcommit_per_mille"));
        }
    }

    void test_dispatch_knobs_are_checked()
    {
        assert_refused(
            "\"weight\": 4",
            "\"longest_wait_ms\": 86400001, \"weight\": 4",
            "changes[0].value.longest_wait_ms: 86400001 is out of range");
        for (const char* limit : {"499", "2001"}) {
            assert_refused(
                "\"kind\": \"engine_pool\"",
                "\"memory_overcommit_per_mille\": " + std::string(limit) +
                    ", \"kind\": \"engine_pool\"",
                "changes[3].value.memory_overcommit_per_mille: " +
                    std::string(limit) + " is out of range");
        }
        assert_refused(
            "\"kind\": \"plain\"",
            "\"kind\": \"plain\", \"memory_overcommit_per_mille\": 1000",
            "changes[4].value.memory_overcommit_per_mille: a plain service "
            "has no engine memory");
    }

    void test_errors_name_path_and_remedy()
    {
        assert_refused(
            "\"weight\": 4",
            "\"weight\": 4000",
            "changes[0].value.weight: 4000 is out of range");
        assert_refused(
            "\"weight\": 4",
            "\"weight\": 4.5",
            "changes[0].value.weight: is no whole number in range");
        assert_refused(
            "\"weight\"",
            "\"wieght\": 1, \"weight\"",
            "changes[0].value.wieght: is no known key");
        assert_refused(
            "\"length_hint\": \"unknown\"",
            "\"length_hint\": \"huge\"",
            "changes[0].value.length_hint: 'huge' is unknown");
        assert_refused(
            "class/interactive",
            "classes/interactive",
            "changes[0].entry: 'classes/interactive' does not name an entry");
        assert_refused(
            "class/report",
            "class/interactive",
            "changes[1].entry: class/interactive stands twice");
        assert_refused(
            "\"default_deadline_ms\": 120000",
            "\"default_deadline_ms\": 1200000",
            "changes[3].value.limits.default_deadline_ms: is above "
            "maximum_deadline_ms");
        assert_refused(
            "\"token_hashes\": []",
            "\"token_hashes\": [\"secret\"]",
            "changes[5].value.token_hashes[0]: is no SHA-256 in lower-case "
            "hexadecimal digits");
        assert_refused(
            "\"kind\": \"plain\"",
            "\"kind\": \"plain\", \"model\": \"m\"",
            "changes[4].value.model: a plain service has no model, adapter, "
            "version or engine targets");
        assert_refused(
            "\"operator\": \"ana\"",
            "\"operator\": \"ana maria\"",
            "operator: 'ana maria' is no valid name");
    }

    void test_damaged_text_never_crashes()
    {
        godwit::core::random random(7);
        const std::string whole = example();
        for (int n = 0; n < 2000; ++n) {
            std::string text = whole;
            for (int hits = 0; hits < 3; ++hits) {
                const auto at = random.below(text.size());
                text[at] = static_cast<char>(random.below(256));
            }
            // Whatever it is, two hosts come to the same.
            state_pointer left = state::empty();
            state_pointer right = state::empty();
            CPPUNIT_ASSERT(fold_data(left, text) == fold_data(right, text));
            CPPUNIT_ASSERT_EQUAL(left->hash(), right->hash());
        }
    }

    void test_checkpoint_reads_back()
    {
        fill();
        const auto records = write_checkpoint(*state_);
        CPPUNIT_ASSERT(records.size() > 1);
        for (const std::string& each : records)
            CPPUNIT_ASSERT(each.size() <= maximum_record_bytes);
        auto restored = read_checkpoint(records).value();
        CPPUNIT_ASSERT_EQUAL(state_->hash(), restored->hash());
        CPPUNIT_ASSERT(state_->entries() == restored->entries());
        CPPUNIT_ASSERT(
            state_->window().decisions() == restored->window().decisions());
        // Both go on alike, with repeats, conflicts and the window's end.
        for (std::uint64_t n = 0; n < repeat_window_records + 100; n += 50) {
            for (int noise = 0; noise < 49; ++noise) {
                fold_data(state_, "noise");
                fold_data(restored, "noise");
            }
            const auto changes =
                make_change_set("org-1", {make_organisation("org-1")});
            CPPUNIT_ASSERT(
                fold_changes(state_, changes) ==
                fold_changes(restored, changes));
            CPPUNIT_ASSERT_EQUAL(state_->hash(), restored->hash());
        }
    }

    void test_checkpoint_in_any_order()
    {
        fill();
        auto records = write_checkpoint(*state_);
        const auto copy = records;
        records.insert(records.end(), copy.rbegin(), copy.rend());
        std::rotate(records.begin(), records.begin() + 1, records.end());
        CPPUNIT_ASSERT_EQUAL(
            state_->hash(), read_checkpoint(records).value()->hash());
    }

    void test_checkpoint_with_one_record_missing()
    {
        fill();
        auto records = write_checkpoint(*state_);
        records.pop_back();
        CPPUNIT_ASSERT(!read_checkpoint(records));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(codec_test);

} // namespace
