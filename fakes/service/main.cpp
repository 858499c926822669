#include "service_shell.hpp"

#include <godwit/fakes/program.hpp>

#include <string>
#include <vector>

namespace {

using godwit::fakes::deduplication;
using godwit::fakes::option_description;
using godwit::fakes::option_reader;

std::vector<option_description> describe_options()
{
    return {
        {"service", "NAME", "service", "the service's name"},
        {"zone", "NAME", "", "availability zone, for the log"},
        {"deduplicates", "yes|no", "no", "run a known key only once"},
    };
}

int run(
    const std::string& service,
    deduplication rule,
    const godwit::http::endpoint& listen)
{
    boost::asio::io_context context(1);
    godwit::fakes::service_shell shell(service, rule);
    return godwit::fakes::serve_until_signal(
        context, "service", listen, [&shell](godwit::http::exchange& current) {
            return shell.handle(current);
        });
}

} // namespace

int main(int argument_count, char** arguments)
{
    return godwit::fakes::run_program(
        {"godwit-fake-service",
         "A stand-in for a plain service.",
         GODWIT_VERSION},
        describe_options(),
        argument_count,
        arguments,
        [](const option_reader& options,
           const godwit::http::endpoint& listen) -> godwit::core::result<int> {
            const bool deduplicates = GODWIT_TRY(options.flag("deduplicates"));
            return run(
                options.text("service"),
                deduplicates ? deduplication::by_key : deduplication::none,
                listen);
        });
}
