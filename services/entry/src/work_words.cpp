#include "work_words.hpp"

namespace godwit::entry {

wire::server_work
to_wire(const placement::server_id& server, const placement::work_size& work)
{
    return wire::server_work{
        server.value(),
        work.requests,
        work.tokens,
        work.unread_tokens,
        work.arriving_tokens};
}

std::vector<placement::server_work>
to_ledger(const std::vector<wire::server_work>& said)
{
    std::vector<placement::server_work> word;
    word.reserve(said.size());
    for (const wire::server_work& one : said)
        word.push_back(placement::server_work{
            placement::server_id(one.server),
            placement::work_size{
                one.requests,
                one.tokens,
                one.unread_tokens,
                one.arriving_tokens}});
    return word;
}

} // namespace godwit::entry
