#pragma once

#include <godwit/membership/pool.hpp>

#include <utility>

namespace godwit::membership {

template<class Action>
void pool::emit(Action what)
{
    actions_.emplace_back(std::move(what));
}

} // namespace godwit::membership
