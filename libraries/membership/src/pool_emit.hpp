#pragma once

#include <godwit/membership/pool.hpp>

#include <utility>

namespace godwit::membership {

template<class Action>
void pool::emit(Action requested)
{
    actions_.emplace_back(std::move(requested));
}

} // namespace godwit::membership
