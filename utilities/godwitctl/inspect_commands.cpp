#include "commands.hpp"
#include "operators_client.hpp"
#include "report.hpp"

#include <godwit/catalogue/token_hash.hpp>

#include <iostream>

namespace godwit::ctl {

namespace {

settings::exit_code
print_answer(const std::string& url, const std::string& target)
{
    const auto server = http::endpoint::parse_url(url);
    if (!server)
        return report_failure(server.error());
    const auto answer = get_json(*server, target);
    if (!answer)
        return report_failure(answer.error());
    print_json(*answer);
    return settings::exit_code::success;
}

} // namespace

settings::exit_code run_dump(const command_line& line)
{
    return print_answer(line.arguments.at(0), "/state");
}

settings::exit_code run_explain(const command_line& line)
{
    return print_answer(
        line.arguments.at(1), "/explain/" + line.arguments.at(0));
}

settings::exit_code run_hash_token(const command_line& line)
{
    std::string token = line.arguments.front();
    // From standard input it stays out of the shell's history.
    if (token == "-")
        std::getline(std::cin, token);
    const auto hash = catalogue::token_hash(token);
    if (!hash)
        return report_failure(hash.error());
    std::cout << *hash << "\n";
    return settings::exit_code::success;
}

} // namespace godwit::ctl
