#include "token_fields.hpp"

#include <cstdint>
#include <utility>

namespace godwit::request {

namespace {

constexpr unsigned bits_per_byte = 8;
constexpr std::size_t length_size = 2;
constexpr std::size_t number_size = 8;

void put_number(std::string& out, std::uint64_t value, std::size_t size)
{
    for (std::size_t index = 0; index < size; ++index) {
        out.push_back(static_cast<char>(value & 0xffU));
        value >>= bits_per_byte;
    }
}

void put_text(std::string& out, const std::string& text)
{
    put_number(out, text.size(), length_size);
    out.append(text);
}

// Reads fields in order; once a field is missing, every later one is too.
class field_reader
{
public:
    explicit field_reader(std::string_view bytes) : rest_(bytes) {}

    std::uint64_t number(std::size_t size)
    {
        if (rest_.size() < size) {
            failed_ = true;
            rest_ = {};
            return 0;
        }
        std::uint64_t value = 0;
        for (std::size_t index = size; index > 0; --index) {
            value = (value << bits_per_byte) |
                    static_cast<unsigned char>(rest_[index - 1]);
        }
        rest_.remove_prefix(size);
        return value;
    }

    std::string text()
    {
        const std::size_t length = number(length_size);
        if (rest_.size() < length) {
            failed_ = true;
            rest_ = {};
            return {};
        }
        std::string value(rest_.substr(0, length));
        rest_.remove_prefix(length);
        return value;
    }

    [[nodiscard]] bool ended_well() const { return !failed_ && rest_.empty(); }

private:
    std::string_view rest_;
    bool failed_ = false;
};

} // namespace

std::optional<std::string> pack(const resume_token& token)
{
    std::string bytes;
    for (const std::string* text :
         {&token.organisation.value(),
          &token.service.value(),
          &token.position.server.value(),
          &token.position.generation.value(),
          &token.started_by}) {
        if (text->size() > field_limit)
            return std::nullopt;
        put_text(bytes, *text);
    }
    put_number(bytes, token.position.offset, number_size);
    put_number(
        bytes, static_cast<std::uint64_t>(token.expires_at), number_size);
    return bytes;
}

std::optional<resume_token> unpack(std::string_view bytes)
{
    field_reader reader(bytes);
    resume_token token;
    token.organisation = core::organisation_name(reader.text());
    token.service = core::service_name(reader.text());
    token.position.server = core::server_address(reader.text());
    token.position.generation = core::generation_id(reader.text());
    token.started_by = reader.text();
    token.position.offset = reader.number(number_size);
    token.expires_at = static_cast<std::int64_t>(reader.number(number_size));
    if (!reader.ended_well())
        return std::nullopt;
    return token;
}

} // namespace godwit::request
