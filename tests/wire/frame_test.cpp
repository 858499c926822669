#include "sample_messages.hpp"

#include <godwit/wire/frame_decoder.hpp>
#include <godwit/wire/frame_encoder.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace godwit;
using wire::frame_decoder;
using wire::frame_encoder;

namespace {

class frame_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(frame_test);
    CPPUNIT_TEST(test_every_message_byte_by_byte);
    CPPUNIT_TEST(test_many_frames_in_one_feed);
    CPPUNIT_TEST(test_frame_limits_are_enforced);
    CPPUNIT_TEST_SUITE_END();

    void test_every_message_byte_by_byte()
    {
        const auto encoder = frame_encoder::create().value();
        auto decoder = frame_decoder::create().value();
        for (const wire::message& sample : wire::sample_messages()) {
            const std::string frame = encoder.encode(sample).value();
            for (std::size_t index = 0; index + 1 < frame.size(); ++index) {
                decoder.feed(frame.substr(index, 1));
                CPPUNIT_ASSERT(!decoder.next().value());
            }
            decoder.feed(frame.substr(frame.size() - 1));
            CPPUNIT_ASSERT(decoder.next().value() == sample);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decoder.buffered());
        }
    }

    void test_many_frames_in_one_feed()
    {
        const auto encoder = frame_encoder::create().value();
        std::string bytes;
        for (const wire::message& sample : wire::sample_messages())
            bytes += encoder.encode(sample).value();
        auto decoder = frame_decoder::create().value();
        decoder.feed(bytes);
        for (const wire::message& sample : wire::sample_messages())
            CPPUNIT_ASSERT(decoder.next().value() == sample);
        CPPUNIT_ASSERT(!decoder.next().value());
    }

    void test_frame_limits_are_enforced()
    {
        CPPUNIT_ASSERT(!frame_encoder::create(0));
        CPPUNIT_ASSERT(!frame_decoder::create(std::size_t{1} << 33));

        constexpr std::size_t limit = 256;
        const auto encoder = frame_encoder::create(limit).value();
        const wire::pull small{1};
        const wire::duty_message large{"x", 1, 1, std::string(limit, 'x')};
        CPPUNIT_ASSERT(encoder.encode(small).has_value());
        CPPUNIT_ASSERT(
            encoder.encode(large).error().kind() ==
            core::error_kind::exhausted);

        auto decoder = frame_decoder::create(limit).value();
        decoder.feed(frame_encoder::create().value().encode(large).value());
        CPPUNIT_ASSERT(
            decoder.next().error().kind() == core::error_kind::protocol);
        // The frame boundaries are lost, so valid bytes are refused too.
        decoder.feed(encoder.encode(small).value());
        CPPUNIT_ASSERT(!decoder.next());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decoder.buffered());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(frame_test);

} // namespace
