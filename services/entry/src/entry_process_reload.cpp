#include <godwit/entry/entry_process.hpp>

#include <godwit/telemetry/log.hpp>

#include <utility>

namespace godwit::entry {

using telemetry::log_event;
using telemetry::log_level;

namespace {

constexpr std::string_view component = "entry";

} // namespace

void entry_process::set_settings_reader(settings_reader reader)
{
    read_settings_ = std::move(reader);
}

void entry_process::reload()
{
    if (!read_settings_)
        return;
    reloaded_at_ = core::monotonic_now();
    const auto read = read_settings_();
    if (!read) {
        log_event(
            log_level::error,
            component,
            "reload_refused",
            {{"cause", read.error().to_string()}});
        return;
    }
    if (!last_read_settings_)
        last_read_settings_ = context_.settings;
    if (*read == *last_read_settings_)
        return;
    last_read_settings_ = *read;
    apply_settings(*read);
}

// The settings are logged once for each change of the file. `restart` means
// that a changed value takes effect only at the next start.
void entry_process::apply_settings(const entry_settings& read)
{
    const entry_settings applied =
        context_.settings.with_reloadable_settings(read);
    log_event(
        log_level::info,
        component,
        "reload",
        {{"taken_over", applied != context_.settings},
         {"restart", applied != read}});
    if (applied == context_.settings)
        return;
    context_.settings = applied;
    context_.budgets.update_settings(applied);
    context_.set_link_capacity();
    context_.rollouts.set_max_exposure(applied.max_rollout_exposure);
    neighbours_->connect_seeds();
}

} // namespace godwit::entry
