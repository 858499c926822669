#pragma once

#include <godwit/core/time.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <functional>
#include <limits>
#include <map>
#include <utility>

namespace godwit::test {

/// Virtual time: runs what is due, in order of moment and of scheduling.
class virtual_time
{
public:
    /// A call of `run_for` that meets `most_events` fails the test, since it
    /// would not end.
    explicit virtual_time(
        core::time_point begin,
        std::size_t most_events = std::numeric_limits<std::size_t>::max())
        : now_(begin), most_events_(most_events)
    {}

    [[nodiscard]] core::time_point now() const { return now_; }

    /// Does `what` after `delay`.
    void after(core::duration delay, std::function<void()> what)
    {
        due_.emplace(now_ + delay, std::move(what));
    }

    /// Lets `span` pass.
    void run_for(core::duration span)
    {
        const auto end = now_ + span;
        std::size_t events = 0;
        while (!due_.empty() && due_.begin()->first <= end) {
            auto next = due_.extract(due_.begin());
            now_ = next.key();
            next.mapped()();
            CPPUNIT_ASSERT_MESSAGE(
                "events without end", ++events < most_events_);
        }
        now_ = end;
    }

private:
    core::time_point now_;
    std::size_t most_events_;
    std::multimap<core::time_point, std::function<void()>> due_;
};

} // namespace godwit::test
