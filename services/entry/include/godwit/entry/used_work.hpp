#pragma once

#include <godwit/entry/shared_queue.hpp>

#include <cstdint>

namespace godwit::entry {

/// A run's tokens in the work of its organisation, counted for as long as the
/// object lives.
class used_work
{
public:
    used_work(
        shared_queue& queue,
        core::organisation_name organisation,
        std::uint64_t tokens);
    ~used_work();

    used_work(const used_work&) = delete;
    used_work& operator=(const used_work&) = delete;

private:
    shared_queue& queue_;
    core::organisation_name organisation_;
    std::uint64_t tokens_;
};

} // namespace godwit::entry
