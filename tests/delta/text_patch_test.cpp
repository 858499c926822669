#include <godwit/delta/content_digest.hpp>
#include <godwit/delta/text_patch.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>

namespace {

using namespace godwit::delta;

constexpr std::size_t max_bytes = 64UL * 1024 * 1024;
// A patch of a few words fits into one packet, together with its metadata.
constexpr std::size_t max_small_patch_bytes = 1024;
constexpr int seed = 7;

/// Returns a route table of `count` routes as operators write them, with unique
/// names.
std::string route_table(int count)
{
    std::mt19937_64 random(seed);
    std::string text = "{\"routes\":[";
    for (int at = 0; at < count; ++at) {
        text += R"({"name":"r-)" + std::to_string(random()) +
                R"(","host":"a.example","path_prefix":"/)" +
                std::to_string(random()) +
                R"(/","kind":"idempotent","timeout_ms":3000,)"
                R"("target_latency_ms":300,"service":"lm"},)";
    }
    return text + "]}";
}

class text_patch_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(text_patch_test);
    CPPUNIT_TEST(test_small_change_makes_a_small_patch);
    CPPUNIT_TEST(test_patch_without_a_base_is_the_whole_text);
    CPPUNIT_TEST(test_patch_to_an_empty_text);
    CPPUNIT_TEST(test_wrong_base_does_not_make_the_text);
    CPPUNIT_TEST(test_corrupted_patches_are_detected);
    CPPUNIT_TEST(test_wrong_size_of_the_text_is_refused);
    CPPUNIT_TEST(test_digests);
    CPPUNIT_TEST_SUITE_END();

    // The changes are far from the start of a text that is much longer than the
    // compressor's default window.
    void test_small_change_makes_a_small_patch()
    {
        for (const int count : {50, 1500, 15000}) {
            const std::string base = route_table(count);
            std::string text = base;
            text.insert(base.size() / 2, R"("k":"a-new-key",)");
            text.replace(base.size() / 4, 6, "abcdef");
            const auto patch = make_patch(base, text).value();
            CPPUNIT_ASSERT(patch.compressed.size() < max_small_patch_bytes);
            CPPUNIT_ASSERT(apply_patch(base, patch, max_bytes).value() == text);
        }
    }

    void test_patch_without_a_base_is_the_whole_text()
    {
        const std::string text = route_table(1500);
        const auto patch = make_patch("", text).value();
        CPPUNIT_ASSERT(patch.compressed.size() < text.size() / 4);
        CPPUNIT_ASSERT(apply_patch("", patch, max_bytes).value() == text);
    }

    void test_patch_to_an_empty_text()
    {
        const auto patch = make_patch("abc", "").value();
        CPPUNIT_ASSERT(apply_patch("abc", patch, max_bytes).value().empty());
    }

    // Either the patch cannot be applied, or the digest differs.
    void test_wrong_base_does_not_make_the_text()
    {
        const std::string base = route_table(50);
        const std::string text = base + "x";
        std::string other = base;
        other[20] = '#';
        const auto patch = make_patch(base, text).value();
        const auto made = apply_patch(other, patch, max_bytes);
        CPPUNIT_ASSERT(!made || content_digest(*made) != content_digest(text));
    }

    // A neighbour may send any bytes: the patch is refused or the digest of the
    // text differs, and nothing is written beyond the text's end.
    void test_corrupted_patches_are_detected()
    {
        const std::string base = route_table(50);
        const std::string text = route_table(60);
        const auto intact = make_patch(base, text).value();
        const auto expected = content_digest(text);
        std::mt19937_64 random(seed);
        for (int tries = 0; tries < 2000; ++tries) {
            text_patch corrupted = intact;
            auto& bytes = corrupted.compressed;
            const std::size_t at = random() % bytes.size();
            const auto byte = static_cast<unsigned char>(bytes[at]);
            bytes[at] = static_cast<char>(byte ^ (1U << (random() % 8)));
            if (tries % 3 == 0)
                bytes.resize(random() % bytes.size());
            const auto made = apply_patch(base, corrupted, max_bytes);
            CPPUNIT_ASSERT(
                !made || *made == text || content_digest(*made) != expected);
        }
    }

    void test_wrong_size_of_the_text_is_refused()
    {
        text_patch patch = make_patch("", "abc").value();
        patch.made_bytes = max_bytes + 1;
        CPPUNIT_ASSERT(!apply_patch("", patch, max_bytes));
        patch.made_bytes = 2;
        CPPUNIT_ASSERT(!apply_patch("", patch, max_bytes));
        patch.made_bytes = 4;
        CPPUNIT_ASSERT(!apply_patch("", patch, max_bytes));
    }

    void test_digests()
    {
        // The example from the standard (FIPS 180-2, B.1).
        const std::string of_abc(
            "\xba\x78\x16\xbf\x8f\x01\xcf\xea\x41\x41\x40\xde\x5d\xae\x22\x23"
            "\xb0\x03\x61\xa3\x96\x17\x7a\x9c\xb4\x10\xff\x61\xf2\x00\x15\xad",
            32);
        CPPUNIT_ASSERT(content_digest("abc") == of_abc);
        CPPUNIT_ASSERT(content_digest("abd") != of_abc);
        CPPUNIT_ASSERT_EQUAL(std::size_t{32}, content_digest("").size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(text_patch_test);

} // namespace
