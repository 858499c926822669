#pragma once

namespace godwit::fakes {

/// What an engine says to a start.
enum class start_verdict
{
    started, ///< It runs, or waits for a place in the batch.
    full,
    leaving,
    wrong_model,
    known, ///< A generation of that id was started before.
};

} // namespace godwit::fakes
