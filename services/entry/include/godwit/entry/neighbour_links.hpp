#pragma once

#include <godwit/core/result.hpp>
#include <godwit/entry/entry_settings.hpp>
#include <godwit/entry/neighbour_choice.hpp>
#include <godwit/wire/acceptor.hpp>
#include <godwit/wire/connector.hpp>
#include <godwit/wire/message.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace godwit::entry {

/// What the links ask of their host, and tell it.
struct neighbour_handlers
{
    /// What a neighbour should know at once when its link opens.
    std::function<std::vector<wire::message>()> on_greeting;
    /// A neighbour said something over its link, which is introduced.
    std::function<void(const std::shared_ptr<wire::link>&, wire::message)>
        on_message;
};

/// The links to some other entry hosts. Each is on its own: a neighbour that
/// freezes, is cut off or loses power costs its own link only. Used on one
/// executor.
class neighbour_links
{
public:
    /// Listens at the settings' address. Fails with `unavailable`.
    [[nodiscard]] static core::result<std::unique_ptr<neighbour_links>> create(
        const boost::asio::any_io_executor& executor,
        const entry_settings& settings,
        neighbour_handlers handlers);

    neighbour_links(const neighbour_links&) = delete;
    neighbour_links& operator=(const neighbour_links&) = delete;

    ~neighbour_links();

    /// Begins to accept, and to connect to the settings' seeds.
    void start();

    /// The hosts that are known now; links to others end.
    void set_hosts(const std::vector<known_host>& hosts);

    /// Sends to every neighbour whose link is open.
    void broadcast(const wire::message& said);

    /// Neighbours whose links are open.
    [[nodiscard]] std::size_t open_links() const;

private:
    neighbour_links(
        const boost::asio::any_io_executor& executor,
        const entry_settings& settings,
        neighbour_handlers handlers);

    [[nodiscard]] core::result<void> listen();
    [[nodiscard]] wire::hello introduction() const;
    [[nodiscard]] wire::link_handlers watch() const;
    void connect(const http::endpoint& address);

    boost::asio::any_io_executor executor_;
    const entry_settings& settings_;
    neighbour_handlers handlers_;
    std::string incarnation_;
    std::shared_ptr<wire::acceptor> acceptor_;
    std::map<http::endpoint, std::shared_ptr<wire::connector>> connectors_;
};

} // namespace godwit::entry
