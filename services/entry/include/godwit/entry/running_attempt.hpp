#pragma once

#include <godwit/entry/upstream.hpp>

#include <memory>
#include <utility>

namespace godwit::entry {

/// One attempt of a call while it runs.
class running_attempt
{
public:
    explicit running_attempt(std::shared_ptr<upstream> exchange)
        : exchange_(std::move(exchange))
    {}

    [[nodiscard]] upstream& exchange() const noexcept { return *exchange_; }

    /// Whether nobody waits for its result any more.
    [[nodiscard]] bool is_cancelled() const noexcept { return is_cancelled_; }

    /// Closes its connection, which makes the server drop the request.
    void cancel() noexcept
    {
        is_cancelled_ = true;
        exchange_->cancel();
    }

private:
    std::shared_ptr<upstream> exchange_;
    bool is_cancelled_ = false;
};

} // namespace godwit::entry
