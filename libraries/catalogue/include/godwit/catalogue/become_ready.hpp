#pragma once

namespace godwit::catalogue {

/// The host has a catalogue and may serve.
struct become_ready
{

    friend bool operator==(const become_ready&, const become_ready&) = default;
};

} // namespace godwit::catalogue
