#include "fake_process.hpp"
#include "operators_stub.hpp"
#include "program_run.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>

namespace {

using godwit::ctl::test::operators_stub;
using godwit::ctl::test::program_run;
using godwit::fakes::test::fake_process;

const std::string example =
    std::string(GODWIT_SOURCE_FOLDER) + "/docs/examples/catalogue.json";

class godwitctl_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(godwitctl_test);
    CPPUNIT_TEST(test_usage);
    CPPUNIT_TEST(test_check_names_path_and_remedy);
    CPPUNIT_TEST(test_publish_and_get);
    CPPUNIT_TEST(test_lost_answer_publishes_once);
    CPPUNIT_TEST(test_repeated_publish_says_the_same);
    CPPUNIT_TEST(test_outage_then_the_same_command);
    CPPUNIT_TEST(test_conflict_names_the_version);
    CPPUNIT_TEST(test_refused_publish_leaves_no_record);
    CPPUNIT_TEST(test_reused_change_id);
    CPPUNIT_TEST(test_wait_until_in_force);
    CPPUNIT_TEST(test_wait_names_who_is_behind);
    CPPUNIT_TEST(test_status_dump_and_explain);
    CPPUNIT_TEST(test_unreachable_addresses);
    CPPUNIT_TEST(test_hash_token);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<fake_process> platform_;
    std::filesystem::path folder_;

public:
    void setUp() override
    {
        platform_ = std::make_unique<fake_process>(
            "godwit-fake-platform", std::vector<std::string>());
        const auto& line = platform_->announcement();
        ::setenv("GODWIT_PLATFORM", line.substr(line.find('=') + 1).c_str(), 1);
        std::string name =
            (std::filesystem::temp_directory_path() / "godwitctl-XXXXXX")
                .string();
        folder_ = ::mkdtemp(name.data());
    }

    void tearDown() override
    {
        platform_.reset();
        std::filesystem::remove_all(folder_);
    }

private:
    std::string write_file(const std::string& content)
    {
        const auto path = (folder_ / "change.json").string();
        std::ofstream(path) << content;
        return path;
    }

    std::string class_change(const std::string& id, int weight, int expected)
    {
        return write_file(
            R"({"change_id": ")" + id +
            R"(", "operator": "ana", "changes": [{"entry": "class/report",)" +
            R"( "expected_version": )" + std::to_string(expected) +
            R"(, "value": {"weight": )" + std::to_string(weight) + "}}]}");
    }

    void set_fault(const std::string& fault)
    {
        const auto answer = platform_->ask("POST", "/faults", fault);
        CPPUNIT_ASSERT(answer && answer->status < 300);
    }

    std::size_t count_records()
    {
        const auto answer = platform_->ask(
            "GET", "/v1/streams/catalogue/records?from=0&limit=100&wait_ms=0");
        std::size_t count = 0;
        for (auto at = answer->body.find("\"offset\""); at != std::string::npos;
             at = answer->body.find("\"offset\"", at + 1))
            ++count;
        return count;
    }

    void
    assert_run(const std::string& arguments, int code, const std::string& text)
    {
        const auto run = program_run::of(arguments);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(run.output, code, run.exit_code);
        CPPUNIT_ASSERT_MESSAGE(run.output, run.says(text));
    }

    void test_usage()
    {
        assert_run("--help", 0, "publish FILE");
        assert_run("--version", 0, "godwitctl ");
        assert_run("", 2, "a command is missing");
        assert_run("publich x", 2, "is no command");
        assert_run("publish", 2, "needs an argument more");
        assert_run("get a b", 2, "'b' is not expected");
        assert_run("status", 2, "needs --operators");
        assert_run("get --platform nowhere", 2, "is no address");
        assert_run("get --timeout 0", 2, "1 to 3600 seconds");
        ::setenv("GODWIT_PLATFORM", "nowhere", 1);
        assert_run("get", 3, "nowhere");
    }

    void test_check_names_path_and_remedy()
    {
        assert_run("check " + example, 0, "would be accepted: 8 changes");
        assert_run(
            "check " + class_change("c", 0, 0),
            1,
            "changes[0].value.weight: 0 is out of range; give a whole number "
            "from 1 to 1000");
        assert_run("check " + write_file("{"), 1, "correct its syntax");
        assert_run("check /no/such/file", 1, "cannot be read");
        assert_run(
            "check " + class_change("c", 1, 7), 1, "is at version 0, not 7");
    }

    void test_publish_and_get()
    {
        assert_run("publish " + example, 0, "accepted at offset 0");
        assert_run("get", 0, "service/register");
        assert_run("get organisation/survey", 0, "\"concurrency\": 100");
        assert_run("get organisation/none", 1, "is not in the catalogue");
        assert_run("get --json", 0, "\"next_offset\": 1");
        assert_run("history class/report", 0, "accepted  ana  first-catalogue");
        assert_run("history --json", 0, "\"verdict\": \"accepted\"");
    }

    void test_lost_answer_publishes_once()
    {
        set_fault(R"({"lose_answers": 1})");
        assert_run("publish " + example, 0, "accepted at offset 0");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_records());
    }

    void test_repeated_publish_says_the_same()
    {
        const auto path = class_change("once", 1, 0);
        assert_run("publish " + path, 0, "accepted at offset 0");
        assert_run("publish " + path, 0, "accepted at offset 0");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_records());
    }

    void test_outage_then_the_same_command()
    {
        set_fault(R"({"outage": true})");
        const auto path = class_change("patient", 1, 0);
        assert_run(
            "publish --timeout 1 " + path, 1, "run the same command again");
        set_fault(R"({"outage": false})");
        assert_run("publish " + path, 0, "accepted at offset 0");
    }

    void test_conflict_names_the_version()
    {
        assert_run("publish " + class_change("a", 1, 0), 0, "version 1");
        assert_run("publish " + class_change("b", 2, 1), 0, "version 2");
        assert_run(
            "publish " + class_change("c", 3, 1),
            1,
            "class/report is at version 2, not 1");
        assert_run(
            "publish --json " + class_change("c", 3, 1),
            1,
            "\"current_version\": 2");
    }

    void test_refused_publish_leaves_no_record()
    {
        assert_run("publish " + class_change("a", 1, 5), 1, "conflict");
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_records());
    }

    void test_reused_change_id()
    {
        assert_run("publish " + class_change("a", 1, 0), 0, "accepted");
        assert_run(
            "publish " + class_change("a", 2, 1), 1, "under a new change id");
    }

    void test_wait_until_in_force()
    {
        operators_stub host;
        assert_run(
            "publish --wait --operators " + host.url() + " " + example,
            0,
            "in force on every host");
        CPPUNIT_ASSERT(host.in_force > 1);
    }

    void test_wait_names_who_is_behind()
    {
        operators_stub host;
        // So far back that questions alone do not bring it there.
        for (int n = 0; n < 100; ++n) {
            CPPUNIT_ASSERT(platform_->ask(
                "POST", "/v1/streams/catalogue/records", "noise"));
        }
        assert_run(
            "publish --wait --timeout 1 --operators " + host.url() + " " +
                example,
            1,
            "accepted at offset 100 but not yet in force everywhere: host-1");
    }

    void test_status_dump_and_explain()
    {
        operators_stub host;
        assert_run("status --operators " + host.url(), 0, "host-1");
        assert_run(
            "status --json --operators " + host.url(), 0, "\"age_ms\": 12");
        assert_run("dump " + host.url(), 0, "\"program\": \"godwit-agent\"");
        assert_run("explain r-1 " + host.url(), 0, "\"decision\": \"start\"");
        assert_run("explain r-2 " + host.url(), 1, "has nothing there");
    }

    void test_unreachable_addresses()
    {
        // Port 9 of 127.0.0.1 has no listener.
        const std::string nobody = "http://127.0.0.1:9";
        assert_run("dump " + nobody, 1, "check the address");
        assert_run("status --operators " + nobody, 1, "check the address");
        assert_run(
            "publish --timeout 1 --platform " + nobody + " " + example,
            1,
            "the log cannot be used");
    }

    void test_hash_token()
    {
        assert_run(
            "hash-token demo",
            0,
            "2a97516c354b68848cdbd8f54a226a0a55b21ed138e207ad6c5cbb9c00aa5ae"
            "a");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(godwitctl_test);

} // namespace
