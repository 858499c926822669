#pragma once

#include <godwit/request/life.hpp>

#include <utility>

namespace godwit::request {

template<class Action>
void life::emit(Action what)
{
    actions_.emplace_back(std::move(what));
}

} // namespace godwit::request
