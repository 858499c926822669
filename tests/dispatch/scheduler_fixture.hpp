#pragma once

#include <godwit/dispatch/scheduler.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// A scheduler on a virtual clock, with what it asked for so far.
class scheduler_fixture
{
public:
    explicit scheduler_fixture(
        godwit::dispatch::scheduler_settings settings = {})
        : decisions(godwit::dispatch::scheduler::create(settings).value())
    {}

    void tell(const godwit::dispatch::event& input)
    {
        for (const auto& action : decisions.handle(input, now)) {
            using namespace godwit::dispatch;
            if (const auto* start = std::get_if<start_request>(&action))
                started.push_back(*start);
            if (const auto* refusal = std::get_if<refuse_request>(&action))
                refused.push_back(*refusal);
            if (const auto* raise = std::get_if<raise_priority>(&action))
                raised.push_back(*raise);
        }
    }

    void pass(godwit::core::duration time)
    {
        now += time;
        tell(godwit::dispatch::tick{});
    }

    void engines(int count, std::uint64_t memory, std::uint32_t running = 0)
    {
        godwit::dispatch::servers_changed event;
        for (int index = 0; index < count; ++index)
            event.servers.push_back(engine(index, memory, running));
        tell(event);
    }

    static godwit::dispatch::backend_server
    engine(int index, std::uint64_t memory, std::uint32_t running = 0)
    {
        return {
            .address = address(index),
            .zone = godwit::core::zone_name("a"),
            .service = godwit::core::service_name("llm"),
            .capacity = {.memory_tokens = memory, .running = running}};
    }

    static godwit::core::server_address address(int index)
    {
        return godwit::core::server_address(
            "10.0.0." + std::to_string(index) + ":80");
    }

    static godwit::dispatch::request_arrived request(
        const std::string& id,
        const std::string& organisation,
        const std::string& class_of_service = "")
    {
        godwit::dispatch::request_arrived event;
        event.id = godwit::core::request_id(id);
        event.organisation = godwit::core::organisation_name(organisation);
        event.service = godwit::core::service_name("llm");
        event.class_of_service =
            godwit::core::request_class_name(class_of_service);
        event.prompt_tokens = 10;
        event.max_tokens = 100;
        return event;
    }

    void arrive(
        const std::string& id,
        const std::string& organisation,
        const std::string& class_of_service = "")
    {
        tell(request(id, organisation, class_of_service));
    }

    void tokens(const std::string& id, std::uint32_t count)
    {
        tell(godwit::dispatch::tokens_arrived{
            {{godwit::core::request_id(id), count}}});
    }

    void end(const std::string& id)
    {
        tell(godwit::dispatch::generation_ended{
            godwit::core::request_id(id), godwit::dispatch::end_reason::stop});
    }

    [[nodiscard]] bool is_started(const std::string& id) const
    {
        for (const auto& start : started) {
            if (start.id.value() == id)
                return true;
        }
        return false;
    }

    godwit::dispatch::scheduler decisions;
    godwit::core::time_point now{};
    std::vector<godwit::dispatch::start_request> started;
    std::vector<godwit::dispatch::refuse_request> refused;
    std::vector<godwit::dispatch::raise_priority> raised;
};
