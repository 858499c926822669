#pragma once

#include <godwit/catalogue/catalogue_alarm.hpp>

#include <functional>

namespace godwit::agent {

/// What the catalogue duty tells the agent.
struct catalogue_duty_handlers
{
    /// Another catalogue is in force at this agent.
    std::function<void()> on_published;

    /// The agent has a catalogue. Called once.
    std::function<void()> on_ready;
};

} // namespace godwit::agent
