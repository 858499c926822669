#include <godwit/core/hash.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cstddef>
#include <string>

namespace {

class hash_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(hash_test);
    CPPUNIT_TEST(test_hash_depends_on_text_and_seed_only);
    CPPUNIT_TEST(test_rendezvous_hashing_balances_keys);
    CPPUNIT_TEST_SUITE_END();

    void test_hash_depends_on_text_and_seed_only()
    {
        // Two releases of the system must agree on the owner of a key, so the
        // hash must not vary between processes.
        CPPUNIT_ASSERT(
            godwit::core::stable_hash("") == godwit::core::stable_hash("", 0));
        CPPUNIT_ASSERT(
            godwit::core::stable_hash("a") != godwit::core::stable_hash("b"));
        CPPUNIT_ASSERT(
            godwit::core::stable_hash("a", 1) !=
            godwit::core::stable_hash("a", 2));
    }

    void test_rendezvous_hashing_balances_keys()
    {
        constexpr std::size_t node_count = 6;
        constexpr int key_count = 6000;
        std::array<int, node_count> owned{};
        for (int key = 0; key < key_count; ++key) {
            std::size_t owner = 0;
            std::uint64_t best = 0;
            for (std::size_t node = 0; node < node_count; ++node) {
                const auto weight = godwit::core::rendezvous_weight(
                    std::to_string(key), "host-" + std::to_string(node));
                if (weight >= best) {
                    best = weight;
                    owner = node;
                }
            }
            ++owned.at(owner);
        }
        for (const int count : owned)
            CPPUNIT_ASSERT(count > 850 && count < 1150);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hash_test);

} // namespace
