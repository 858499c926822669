#include <godwit/admission/recent_prompts.hpp>

#include <utility>

namespace godwit::admission {

void recent_prompts::add(
    std::vector<std::string> part_ids, core::time_point now)
{
    if (part_ids.empty())
        return;
    prompts_.push_back({now, std::move(part_ids)});
    while (prompts_.size() > max_prompts ||
           now - prompts_.front().completed_at >= retention)
        prompts_.pop_front();
}

std::set<std::string> recent_prompts::part_ids(core::time_point now) const
{
    std::set<std::string> ids;
    for (const prompt& each : prompts_) {
        if (now - each.completed_at < retention)
            ids.insert(each.part_ids.begin(), each.part_ids.end());
    }
    return ids;
}

} // namespace godwit::admission
