#include <godwit/load/arrival_clock.hpp>

#include <algorithm>

namespace godwit::load {

void arrival_clock::text(core::time_point now, request_record& record)
{
    const core::duration silence = now - last_;
    record.stall = std::max(record.stall, silence);
    if (has_text_)
        record.gaps.push_back(silence);
    else
        record.first_text = now - sent_;
    has_text_ = true;
    last_ = now;
}

void arrival_clock::end(core::time_point now, request_record& record)
{
    record.stall = std::max(record.stall, now - last_);
}

} // namespace godwit::load
