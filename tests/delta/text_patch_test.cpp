#include <godwit/delta/content_digest.hpp>
#include <godwit/delta/text_patch.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>

namespace {

using namespace godwit::delta;

constexpr std::size_t longest = 64UL * 1024 * 1024;
// A change of a few words, with what is said about it, fits in one packet.
constexpr std::size_t most_bytes_a_small_change = 1024;
constexpr int seed = 7;

/// Routes as an operator writes them, with names that do not repeat.
std::string routes(int count)
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
    CPPUNIT_TEST(test_a_small_change_is_a_small_patch);
    CPPUNIT_TEST(test_without_a_base_it_is_the_whole_text);
    CPPUNIT_TEST(test_an_empty_text);
    CPPUNIT_TEST(test_another_base_makes_another_text);
    CPPUNIT_TEST(test_spoiled_patches_are_refused);
    CPPUNIT_TEST(test_a_patch_cannot_claim_any_size);
    CPPUNIT_TEST(test_digests);
    CPPUNIT_TEST_SUITE_END();

    // The change is far from the beginning, in a text much longer than the
    // compressor's usual window.
    void test_a_small_change_is_a_small_patch()
    {
        for (const int count : {50, 1500, 15000}) {
            const std::string base = routes(count);
            std::string text = base;
            text.insert(base.size() / 2, R"("k":"a-new-key",)");
            text.replace(base.size() / 4, 6, "abcdef");
            const auto patch = make_patch(base, text).value();
            CPPUNIT_ASSERT(patch.compressed.size() < most_bytes_a_small_change);
            CPPUNIT_ASSERT(apply_patch(base, patch, longest).value() == text);
        }
    }

    void test_without_a_base_it_is_the_whole_text()
    {
        const std::string text = routes(1500);
        const auto patch = make_patch("", text).value();
        CPPUNIT_ASSERT(patch.compressed.size() < text.size() / 4);
        CPPUNIT_ASSERT(apply_patch("", patch, longest).value() == text);
    }

    void test_an_empty_text()
    {
        const auto patch = make_patch("abc", "").value();
        CPPUNIT_ASSERT(apply_patch("abc", patch, longest).value().empty());
    }

    // Either it cannot be applied, or the digest tells.
    void test_another_base_makes_another_text()
    {
        const std::string base = routes(50);
        const std::string text = base + "x";
        std::string other = base;
        other[20] = '#';
        const auto patch = make_patch(base, text).value();
        const auto made = apply_patch(other, patch, longest);
        CPPUNIT_ASSERT(!made || content_digest(*made) != content_digest(text));
    }

    // A byte from a neighbour may be any; the text is refused or told apart
    // by its digest, and nothing is written beyond it.
    void test_spoiled_patches_are_refused()
    {
        const std::string base = routes(50);
        const std::string text = routes(60);
        const auto sound = make_patch(base, text).value();
        const auto wanted = content_digest(text);
        std::mt19937_64 random(seed);
        for (int tries = 0; tries < 2000; ++tries) {
            text_patch spoiled = sound;
            auto& bytes = spoiled.compressed;
            const std::size_t at = random() % bytes.size();
            const auto byte = static_cast<unsigned char>(bytes[at]);
            bytes[at] = static_cast<char>(byte ^ (1U << (random() % 8)));
            if (tries % 3 == 0)
                bytes.resize(random() % bytes.size());
            const auto made = apply_patch(base, spoiled, longest);
            CPPUNIT_ASSERT(
                !made || *made == text || content_digest(*made) != wanted);
        }
    }

    void test_a_patch_cannot_claim_any_size()
    {
        text_patch patch = make_patch("", "abc").value();
        patch.made_bytes = longest + 1;
        CPPUNIT_ASSERT(!apply_patch("", patch, longest));
        patch.made_bytes = 2;
        CPPUNIT_ASSERT(!apply_patch("", patch, longest));
        patch.made_bytes = 4;
        CPPUNIT_ASSERT(!apply_patch("", patch, longest));
    }

    void test_digests()
    {
        // The example of the standard (FIPS 180-2, B.1).
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
