#include <godwit/request/token_keyring.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using namespace godwit::request;
using godwit::core::error_kind;
using godwit::core::organisation_name;

const organisation_name surveyors("surveyors");
constexpr std::int64_t now = 1'000'000;

token_keyring ring_of(std::vector<token_key> keys)
{
    return token_keyring::create(std::move(keys)).value();
}

token_key key_of(const std::string& id)
{
    return {id, std::string(32, id.back())};
}

resume_token token()
{
    return {
        surveyors,
        godwit::core::service_name("gazetteer"),
        {godwit::core::server_address("10.0.0.1:80"),
         godwit::core::generation_id("r-1"),
         7},
        now + 60};
}

class token_keyring_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(token_keyring_test);
    CPPUNIT_TEST(test_opens_what_it_sealed);
    CPPUNIT_TEST(test_every_changed_letter_is_refused);
    CPPUNIT_TEST(test_every_truncation_is_refused);
    CPPUNIT_TEST(test_foreign_and_expired_are_refused);
    CPPUNIT_TEST(test_keys_rotate);
    CPPUNIT_TEST(test_bad_keys_are_refused);
    CPPUNIT_TEST_SUITE_END();

    void test_opens_what_it_sealed()
    {
        const auto ring = ring_of({key_of("a")});
        const auto text = ring.seal(token()).value();
        CPPUNIT_ASSERT(ring.open(text, surveyors, now).value() == token());
    }

    void test_every_changed_letter_is_refused()
    {
        const auto ring = ring_of({key_of("a")});
        const auto text = ring.seal(token()).value();
        for (std::size_t at = 0; at < text.size(); ++at) {
            for (const char other : {'A', 'B', '.', '-', '\0'}) {
                auto forged = text;
                forged[at] = other;
                if (forged != text)
                    CPPUNIT_ASSERT(!ring.open(forged, surveyors, now));
            }
        }
    }

    void test_every_truncation_is_refused()
    {
        const auto ring = ring_of({key_of("a")});
        const auto text = ring.seal(token()).value();
        for (std::size_t size = 0; size < text.size(); ++size)
            CPPUNIT_ASSERT(!ring.open(text.substr(0, size), surveyors, now));
        CPPUNIT_ASSERT(!ring.open(text + "A", surveyors, now));
        CPPUNIT_ASSERT(!ring.open(std::string(1 << 20, 'A'), surveyors, now));
    }

    void test_foreign_and_expired_are_refused()
    {
        const auto ring = ring_of({key_of("a")});
        const auto text = ring.seal(token()).value();
        const auto kind = [&](const char* organisation, std::int64_t at) {
            return ring.open(text, organisation_name(organisation), at)
                .error()
                .kind();
        };
        CPPUNIT_ASSERT(kind("others", now) == error_kind::unauthorised);
        CPPUNIT_ASSERT(kind("surveyors", now + 60) == error_kind::expired);
        const auto other = ring_of({{"a", std::string(32, 'x')}});
        CPPUNIT_ASSERT(
            other.open(text, surveyors, now).error().kind() ==
            error_kind::unauthorised);
    }

    void test_keys_rotate()
    {
        const auto old_text = ring_of({key_of("a")}).seal(token()).value();
        const auto both = ring_of({key_of("b"), key_of("a")});
        CPPUNIT_ASSERT(both.open(old_text, surveyors, now).has_value());
        const auto after = ring_of({key_of("b")});
        CPPUNIT_ASSERT(
            after.open(old_text, surveyors, now).error().kind() ==
            error_kind::not_found);
        const auto new_text = both.seal(token()).value();
        CPPUNIT_ASSERT(after.open(new_text, surveyors, now).has_value());
    }

    void test_bad_keys_are_refused()
    {
        CPPUNIT_ASSERT(!token_keyring::create({}));
        CPPUNIT_ASSERT(!token_keyring::create({{"a", "short"}}));
        CPPUNIT_ASSERT(!token_keyring::create({{"a.", std::string(32, 'x')}}));
        CPPUNIT_ASSERT(!token_keyring::create({key_of("a"), key_of("a")}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(token_keyring_test);

} // namespace
