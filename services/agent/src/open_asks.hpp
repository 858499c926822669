#pragma once

#include "open_ask.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace godwit::agent {

/// The questions of this host's proxies that are not answered yet. Proxies
/// number their questions by themselves, so the agent gives numbers of its
/// own. The claimer answers each, which bounds them.
class open_asks
{
public:
    /// The agent's number for a new question.
    std::uint64_t add(open_ask ask);

    /// Takes the question out; nothing if it was withdrawn.
    std::optional<open_ask> take(std::uint64_t ask);

    /// The agent's number of a proxy's question.
    [[nodiscard]] std::optional<std::uint64_t>
    find(const wire::link& proxy, std::uint64_t number) const;

    /// The numbers of a proxy's questions.
    [[nodiscard]] std::vector<std::uint64_t> of(const wire::link& proxy) const;

    [[nodiscard]] std::size_t size() const noexcept { return asks_.size(); }

private:
    std::map<std::uint64_t, open_ask> asks_;
    std::uint64_t next_ = 1;
};

} // namespace godwit::agent
