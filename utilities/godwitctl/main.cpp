#include "command_line.hpp"
#include "commands.hpp"

namespace {

using godwit::ctl::command;
using godwit::ctl::command_line;
using godwit::settings::exit_code;

exit_code run(const command_line& line)
{
    switch (line.what) {
    case command::check:
        return run_check(line);
    case command::publish:
        return run_publish(line);
    case command::get:
        return run_get(line);
    case command::history:
        return run_history(line);
    case command::status:
        return run_status(line);
    case command::dump:
        return run_dump(line);
    case command::explain:
        return run_explain(line);
    case command::hash_token:
        return run_hash_token(line);
    }
    return exit_code::usage_error;
}

} // namespace

int main(int argument_count, char** arguments)
{
    const auto line = command_line::parse(argument_count, arguments);
    if (!line)
        return line.error().report();
    return static_cast<int>(run(*line));
}
