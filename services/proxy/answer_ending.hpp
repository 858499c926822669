#pragma once

namespace godwit::proxy {

/// How the writing of an answer to its caller ended.
enum class answer_ending
{
    whole,       ///< Every byte was taken.
    caller_gone, ///< The caller closed or lost its connection.
    caller_slow, ///< The caller took no byte for too long.
    cut,         ///< This side gave up.
};

} // namespace godwit::proxy
