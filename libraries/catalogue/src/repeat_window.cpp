#include <godwit/catalogue/repeat_window.hpp>

#include <godwit/core/hash.hpp>

#include <algorithm>

namespace godwit::catalogue {

namespace {

std::uint64_t
hash_of_id(const change_id& id, const core::operator_name& published_by)
{
    return core::stable_hash(
        id.value(), core::stable_hash(published_by.value()));
}

std::uint64_t hash_of(const decided_change& decision, std::uint64_t id_hash)
{
    const std::string numbers = std::to_string(decision.offset) + " " +
                                std::to_string(decision.content_hash) +
                                (decision.accepted ? " accepted" : " refused");
    return core::stable_hash(numbers, id_hash);
}

} // namespace

const decided_change* repeat_window::find(
    const change_id& id, const core::operator_name& published_by) const
{
    const std::uint64_t wanted = hash_of_id(id, published_by);
    for (const auto& each : *ring_) {
        for (std::size_t index = 0; index < each->id_hashes.size(); ++index) {
            if (each->id_hashes[index] != wanted)
                continue;
            const decided_change& found = each->decisions[index];
            if (found.id == id && found.published_by == published_by)
                return &found;
        }
    }
    return nullptr;
}

repeat_window repeat_window::with(decided_change decision) const
{
    const std::uint64_t number = decision.offset / chunk_records;
    const std::uint64_t id_hash =
        hash_of_id(decision.id, decision.published_by);
    const std::uint64_t hash = hash_of(decision, id_hash);
    const bool extends = !ring_->empty() && ring_->back()->number == number;
    auto changed = extends ? std::make_shared<chunk>(*ring_->back())
                           : std::make_shared<chunk>();
    changed->number = number;
    changed->hash += hash;
    changed->id_hashes.push_back(id_hash);
    changed->decisions.push_back(std::move(decision));
    auto changed_ring = std::make_shared<ring>(*ring_);
    if (extends)
        changed_ring->back() = std::move(changed);
    else
        changed_ring->push_back(std::move(changed));
    repeat_window copy(*this);
    copy.ring_ = std::move(changed_ring);
    copy.hash_ += hash;
    return copy;
}

repeat_window repeat_window::advanced_to(std::uint64_t next_offset) const
{
    const std::uint64_t current = next_offset / chunk_records;
    const auto has_left = [current](const auto& each) {
        return each->number + chunk_count < current;
    };
    if (ring_->empty() || !has_left(ring_->front()))
        return *this;
    repeat_window copy(*this);
    auto kept = std::make_shared<ring>();
    for (const auto& each : *ring_) {
        if (has_left(each))
            copy.hash_ -= each->hash;
        else
            kept->push_back(each);
    }
    copy.ring_ = std::move(kept);
    return copy;
}

std::vector<decided_change> repeat_window::decisions() const
{
    std::vector<decided_change> all;
    for (const auto& each : *ring_)
        all.insert(all.end(), each->decisions.begin(), each->decisions.end());
    return all;
}

} // namespace godwit::catalogue
