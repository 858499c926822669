#include "connection.hpp"

#include "server_state.hpp"

#include <sys/ioctl.h>

#include <linux/sockios.h>

#include <algorithm>
#include <utility>

// What a connection holds of its server's account.

namespace godwit::http {

namespace {

// A caller that moves fewer bytes in the account's stall time counts as
// stalled, so that one that sends or takes a byte now and then is, too.
constexpr std::size_t min_progress_bytes = std::size_t{16} * 1024;
// Less free space is not worth a read.
constexpr std::size_t min_read_size = std::size_t{2} * 1024;

} // namespace

void connection::hold(memory::client_account::holder answer)
{
    answer_held_ += answer.held().bytes;
    held_.absorb(std::move(answer));
}

void connection::set_activity(memory::activity doing)
{
    doing_ = doing;
    doing_since_ = core::monotonic_now();
    progress_ = 0;
    held_.set_activity(doing, doing_since_);
}

void connection::record_progress(std::size_t bytes)
{
    progress_ += bytes;
    if (progress_ >= min_progress_bytes)
        set_activity(doing_);
}

void connection::release_request()
{
    if (buffer_.size() == 0 && buffer_.capacity() > read_size)
        buffer_.shrink_to_fit();
    const std::size_t unsent = answer_held_ > 0 ? unsent_bytes() : 0;
    answer_held_ = 0;
    const memory::amounts kept =
        fixed_amounts +
        memory::amounts{buffer_excess(buffer_.capacity()) + unsent, 0};
    held_.give_back(held_.held() - kept);
}

std::size_t connection::buffer_excess(std::size_t capacity)
{
    return capacity - std::min(capacity, read_size);
}

std::size_t connection::next_read_size() const
{
    const std::size_t free = buffer_.capacity() - buffer_.size();
    if (free >= min_read_size)
        return std::min(free, read_size);
    return std::min(read_size, buffer_.max_size() - buffer_.size());
}

// As `flat_buffer` grows.
std::size_t connection::next_buffer_capacity() const
{
    const std::size_t wanted = buffer_.size() + next_read_size();
    if (wanted <= buffer_.capacity())
        return buffer_.capacity();
    return std::min(buffer_.max_size(), std::max(2 * buffer_.size(), wanted));
}

// What the kernel holds of an answer until the caller has taken it.
std::size_t connection::unsent_bytes()
{
    int count = 0;
    const int failed = ::ioctl(socket_.native_handle(), SIOCOUTQ, &count);
    return failed != 0 || count < 0 ? 0 : static_cast<std::size_t>(count);
}

void connection::evict()
{
    const core::duration since = core::monotonic_now() - doing_since_;
    boost::system::error_code ignored;
    switch (doing_) {
    case memory::activity::idle:
        if (is_idle_ && !has_unread_bytes())
            close_socket();
        break;
    case memory::activity::receiving:
        is_evicted_ = true;
        socket_.cancel(ignored);
        break;
    case memory::activity::sending:
        // A stream may have begun its next piece in the meantime.
        if (since < server_->account().limits().stall_time)
            break;
        reset_at_close(true);
        close_socket();
        break;
    case memory::activity::closing:
        close_socket();
        break;
    case memory::activity::serving:
        break;
    }
}

} // namespace godwit::http
