#include "catalogue_log.hpp"

#include <optional>
#include <utility>

namespace godwit::ctl {

namespace {

const std::string catalogue_stream = "catalogue";

template<class Answer>
Answer
wait_for(boost::asio::io_context& context, const std::optional<Answer>& answer)
{
    context.restart();
    while (!answer)
        context.run_one();
    return *answer;
}

} // namespace

catalogue_log::catalogue_log(
    std::unique_ptr<boost::asio::io_context> context,
    std::shared_ptr<platform::log_client> client)
    : context_(std::move(context)), client_(std::move(client))
{}

core::result<catalogue_log>
catalogue_log::create(const http::endpoint& platform)
{
    auto context = std::make_unique<boost::asio::io_context>(1);
    auto client = GODWIT_TRY(platform::log_client::create(
        context->get_executor(), platform, platform::log_client_options()));
    return catalogue_log(std::move(context), std::move(client));
}

platform::append_result catalogue_log::append(const std::string& data)
{
    std::optional<platform::append_result> answer;
    client_->append(
        catalogue_stream,
        data,
        platform::append_throttling::host_share,
        [&answer](platform::append_result result) {
            answer = std::move(result);
        });
    return wait_for(*context_, answer);
}

core::result<platform::log_page>
catalogue_log::read(std::uint64_t from, std::uint32_t limit)
{
    std::optional<core::result<platform::log_page>> answer;
    platform::read_request wanted;
    wanted.stream = catalogue_stream;
    wanted.from = from;
    wanted.limit = limit;
    client_->read(wanted, [&answer](core::result<platform::log_page> page) {
        answer = std::move(page);
    });
    return wait_for(*context_, answer);
}

} // namespace godwit::ctl
