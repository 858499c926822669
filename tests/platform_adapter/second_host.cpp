#include "second_host.hpp"

#include <godwit/platform_adapter/request_codec.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>

namespace godwit::platform_adapter::test {

second_host::second_host(testbed& first)
{
    // A free port may be taken before it is bound.
    constexpr int max_attempts = 20;
    for (int attempt = 1; !process_; ++attempt) {
        entry::entry_settings settings = settings_on_free_ports();
        settings.host = core::host_name("h2");
        settings.seeds = {first.neighbours()};
        auto process = entry::entry_process::create(
            context_,
            std::move(settings),
            entry::codec_functions::of<request_codec>());
        CPPUNIT_ASSERT_MESSAGE(
            process ? std::string() : process.error().to_string(),
            process || attempt < max_attempts);
        if (process)
            process_ = std::move(*process);
    }
    sources_ = std::make_unique<platform_sources>(
        context_.get_executor(), first.store().address(), *process_);
    process_->start();
    sources_->start();
    thread_ = std::thread([this] { context_.run(); });
}

second_host::~second_host()
{
    context_.stop();
    thread_.join();
}

bool second_host::is_ready()
{
    return boost::asio::post(context_, boost::asio::use_future([this] {
                                 return process_->is_ready();
                             }))
        .get();
}

void second_host::wait_until_linked(testbed& first)
{
    testbed::wait_until("a neighbour", [this, &first] {
        const bool is_known =
            first.run_on_host<bool>([](entry::entry_process& process) {
                return process.fleet_size() > 1;
            });
        return is_known && is_ready();
    });
}

} // namespace godwit::platform_adapter::test
