#include "sample_messages.hpp"

#include <godwit/core/random.hpp>
#include <godwit/wire/codec.hpp>
#include <godwit/wire/frame_decoder.hpp>
#include <godwit/wire/frame_encoder.hpp>

#include <flatbuffers/flatbuffers.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

using namespace godwit;

namespace {

constexpr std::size_t frame_limit = 4096;

// Feeds malformed input to the decoder. The generators have fixed seeds, so
// that failures are reproducible; sanitizer builds find errors that no
// assertion checks.
class fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fuzz_test);
    CPPUNIT_TEST(test_random_bytes);
    CPPUNIT_TEST(test_mutated_frames);
    CPPUNIT_TEST(test_truncated_bodies);
    CPPUNIT_TEST(test_many_references_to_one_string_are_refused);
    CPPUNIT_TEST_SUITE_END();

    // For any input the decoder returns messages or a permanent error, and
    // buffers no more than one frame and the bytes just fed.
    static void feed_all(const std::string& bytes, core::random& random)
    {
        auto decoder = wire::frame_decoder::create(frame_limit).value();
        std::size_t fed = 0;
        bool failed = false;
        while (fed < bytes.size()) {
            const auto size =
                std::min<std::size_t>(1 + random.below(64), bytes.size() - fed);
            decoder.feed(std::string_view(bytes).substr(fed, size));
            fed += size;
            for (;;) {
                const auto next = decoder.next();
                CPPUNIT_ASSERT(!failed || !next);
                if (!next) {
                    CPPUNIT_ASSERT(
                        next.error().kind() == core::error_kind::protocol);
                    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decoder.buffered());
                    failed = true;
                    break;
                }
                if (!*next)
                    break;
            }
            CPPUNIT_ASSERT(
                decoder.buffered() <= frame_limit + wire::frame_header_size);
        }
    }

    static std::string random_bytes(core::random& random, std::size_t size)
    {
        std::string bytes(size, '\0');
        for (char& byte : bytes)
            byte = static_cast<char>(random.below(256));
        return bytes;
    }

    void test_random_bytes()
    {
        core::random random(1);
        for (int round = 0; round < 20000; ++round) {
            std::string bytes = random_bytes(random, random.below(300));
            // About half of them start with a length within the limit.
            if (bytes.size() > 3 && random.below(2) == 0)
                bytes[1] = bytes[2] = bytes[3] = 0;
            feed_all(bytes, random);
        }
    }

    void test_mutated_frames()
    {
        core::random random(2);
        const auto encoder = wire::frame_encoder::create().value();
        std::vector<std::string> frames;
        for (const wire::message& sample : wire::sample_messages())
            frames.push_back(encoder.encode(sample).value());
        for (int round = 0; round < 40000; ++round) {
            std::string bytes = frames.at(random.below(frames.size()));
            bytes += frames.at(random.below(frames.size()));
            const auto mutations = 1 + random.below(4);
            for (std::uint64_t index = 0; index < mutations; ++index)
                mutate(bytes, random);
            feed_all(bytes, random);
        }
    }

    static void mutate(std::string& bytes, core::random& random)
    {
        const auto at = random.below(bytes.size());
        switch (random.below(4)) {
        case 0:
            bytes[at] = static_cast<char>(random.below(256));
            break;
        case 1:
            bytes[at] = static_cast<char>(bytes[at] ^ (1 << random.below(8)));
            break;
        case 2:
            bytes.erase(at, 1 + random.below(8));
            bytes += '\0';
            break;
        default:
            bytes.insert(at, random_bytes(random, 1 + random.below(8)));
            break;
        }
    }

    void test_truncated_bodies()
    {
        for (const wire::message& sample : wire::sample_messages()) {
            const std::string body = wire::encode(sample);
            // The last bytes may be padding: a body without them may still
            // decode, but then to the same message.
            for (std::size_t size = 0; size < body.size(); ++size) {
                const auto decoded =
                    wire::decode(std::string_view(body).substr(0, size));
                CPPUNIT_ASSERT(!decoded || *decoded == sample);
            }
        }
    }

    void test_many_references_to_one_string_are_refused()
    {
        // A frame of a few kilobytes whose list refers to one string 500
        // times.
        flatbuffers::FlatBufferBuilder out;
        const auto shared = out.CreateString(std::string(2000, 'x'));
        const std::vector<flatbuffers::Offset<flatbuffers::String>> many(
            500, shared);
        const auto list = out.CreateVector(many);
        constexpr flatbuffers::voffset_t removed_field = 8;
        constexpr flatbuffers::voffset_t payload_type_field = 4;
        constexpr flatbuffers::voffset_t payload_field = 6;
        constexpr std::uint8_t backend_servers_type = 6;
        auto start = out.StartTable();
        out.AddOffset(removed_field, list);
        const auto servers = flatbuffers::Offset<void>(out.EndTable(start));
        start = out.StartTable();
        out.AddElement<std::uint8_t>(
            payload_type_field, backend_servers_type, 0);
        out.AddOffset(payload_field, servers);
        out.Finish(flatbuffers::Offset<void>(out.EndTable(start)), "GDWT");
        const auto decoded = wire::decode(
            {reinterpret_cast<const char*>(out.GetBufferPointer()),
             out.GetSize()});
        CPPUNIT_ASSERT(!decoded);
        CPPUNIT_ASSERT_EQUAL(
            std::string("a frame is not valid: its parts overlap"),
            decoded.error().message());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fuzz_test);

} // namespace
