#include "record_writer.hpp"

#include "hex.hpp"

namespace godwit::claims {

namespace {

constexpr std::string_view head = R"({"version":1,"holders":[)";
constexpr std::string_view middle = R"(],"entries":[)";
constexpr std::string_view tail = "]}";

std::string quoted(std::string_view text)
{
    // Every text of a record is hexadecimal, an outcome or a valid holder's
    // part, so that nothing needs an escape.
    return '"' + std::string(text) + '"';
}

std::string encode_holder(const claim_holder& holder)
{
    return '[' + quoted(holder.host.value()) + ',' +
           quoted(holder.incarnation.value()) + ',' +
           quoted(holder.peer_address) + ']';
}

std::string encode_position(claim_position position)
{
    return std::to_string(position.offset) + ',' +
           std::to_string(position.index);
}

} // namespace

std::size_t record_writer::holder_index(const std::string& holder) const
{
    const auto known = holder_indexes_.find(holder);
    return known == holder_indexes_.end() ? holder_indexes_.size()
                                          : known->second;
}

record_writer::encoded record_writer::encode(const claim_entry& claim) const
{
    auto holder = encode_holder(claim.holder);
    auto text = R"(["claim",)" + quoted(claim.key.to_string()) + ',' +
                quoted(claim.request.to_string()) + ',' +
                std::to_string(holder_index(holder)) + ',' +
                quoted(claim.attempt.to_string()) + ']';
    return {std::move(text), std::move(holder)};
}

record_writer::encoded record_writer::encode(const release_entry& release) const
{
    return {
        R"(["release",)" + quoted(release.key.to_string()) + ',' +
            encode_position(release.position) + ']',
        {}};
}

record_writer::encoded
record_writer::encode(const finished_entry& finished) const
{
    auto holder = encode_holder(finished.holder);
    auto text = R"(["finished",)" + quoted(finished.key.to_string()) + ',' +
                encode_position(finished.position) + ',' +
                quoted(finished.request.to_string()) + ',' +
                std::to_string(holder_index(holder)) + ',' +
                quoted(core::to_string(finished.outcome)) + ',' +
                quoted(to_hex(finished.answer_digest)) + ']';
    return {std::move(text), std::move(holder)};
}

bool record_writer::add(const record_entry& entry)
{
    if (count_ == record_entry_limit)
        return false;
    const auto addition =
        std::visit([this](const auto& value) { return encode(value); }, entry);
    const bool new_holder =
        !addition.holder.empty() && !holder_indexes_.contains(addition.holder);
    constexpr std::size_t commas = 2;
    const std::size_t size = head.size() + holders_.size() + middle.size() +
                             entries_.size() + tail.size() +
                             addition.text.size() + commas +
                             (new_holder ? addition.holder.size() : 0);
    if (size > record_size_limit)
        return false;
    if (new_holder) {
        holder_indexes_.emplace(addition.holder, holder_indexes_.size());
        if (!holders_.empty())
            holders_ += ',';
        holders_ += addition.holder;
    }
    if (!entries_.empty())
        entries_ += ',';
    entries_ += addition.text;
    ++count_;
    return true;
}

std::string record_writer::text() const
{
    std::string whole(head);
    whole += holders_;
    whole += middle;
    whole += entries_;
    whole += tail;
    return whole;
}

} // namespace godwit::claims
