#pragma once

#include <godwit/core/time.hpp>
#include <godwit/memory/account_limits.hpp>
#include <godwit/memory/amounts.hpp>
#include <godwit/memory/holding.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace godwit::memory {

/// The answer to a holder that asks for more.
enum class grant
{
    granted,
    pending, ///< Others were told to end; ask again in a moment.
    refused, ///< Nothing that may end would make room.
};

/// What happened to one holder that had to make room, for logs.
struct eviction
{
    holding evicted;
    core::duration waited{}; ///< Since its client last did something.
    amounts used;            ///< By all holders, before.

    friend bool operator==(const eviction&, const eviction&) = default;
};

/// What all clients together make a process hold. Each connection, and all
/// else that is held for a client, is a holder that takes from the account
/// before it allocates. When something is short, holders are told to end in the
/// order of `choose_evictions`. Thread-safe.
class client_account : public std::enable_shared_from_this<client_account>
{
public:
    class holder;

    /// Tells a holder to end. Called under the account's lock, so that it must
    /// not use the account; what the holder has comes back when it gives it
    /// back.
    using evict_function = std::function<void()>;

    using eviction_observer = std::function<void(const eviction&)>;

    [[nodiscard]] static std::shared_ptr<client_account>
    create(const account_limits& limits);

    client_account(const client_account&) = delete;
    client_account& operator=(const client_account&) = delete;

    /// Returns a holder of nothing that does this since `now`. It is not told
    /// to end before `on_eviction`.
    [[nodiscard]] holder open(activity doing, core::time_point now);

    /// Sets what is told of each eviction, under the account's lock.
    void observe(eviction_observer observer);

    [[nodiscard]] const account_limits& limits() const noexcept
    {
        return limits_;
    }

    [[nodiscard]] amounts used() const;

    [[nodiscard]] std::size_t evictions() const;

    [[nodiscard]] std::size_t refusals() const;

private:
    struct entry
    {
        holding what;
        evict_function evict;
        bool is_evicted = false;
    };

    explicit client_account(const account_limits& limits) noexcept
        : limits_(limits)
    {}

    [[nodiscard]] grant
    take(std::uint64_t id, amounts more, core::time_point now);
    [[nodiscard]] grant
    end_others(std::uint64_t id, amounts shortage, core::time_point now);
    void take_existing(std::uint64_t id, amounts more);
    void set_eviction(std::uint64_t id, evict_function evict);
    void give_back(std::uint64_t id, amounts less);
    void move_to(std::uint64_t from, std::uint64_t to);
    void set_activity(std::uint64_t id, activity doing, core::time_point now);
    void close(std::uint64_t id);
    [[nodiscard]] amounts held(std::uint64_t id) const;
    [[nodiscard]] amounts available_to(const entry& taker, amounts more) const;
    [[nodiscard]] grant
    make_room(const entry& taker, amounts shortage, core::time_point now);

    const account_limits limits_;
    mutable std::mutex mutex_;
    amounts used_;
    std::uint64_t last_id_ = 0;
    std::size_t evictions_ = 0;
    std::size_t refusals_ = 0;
    std::unordered_map<std::uint64_t, entry> entries_;
    eviction_observer observer_;
};

/// The part of an account that one client's connection, or one piece of work
/// for it, has; given back when it is destroyed. One that was moved from has
/// nothing and may only give back.
class client_account::holder
{
public:
    holder() noexcept = default;
    holder(holder&& other) noexcept;
    holder& operator=(holder&& other) noexcept;
    ~holder();

    /// Takes more, all of it or nothing.
    [[nodiscard]] grant try_take(amounts more, core::time_point now);

    /// Tells others to end so that `shortage` comes free beside what is free.
    [[nodiscard]] grant make_room(amounts shortage, core::time_point now);

    /// Adds what is allocated already, also beyond the limits.
    void take_existing(amounts more);

    /// Sets what tells the holder to end; before, it is never told to.
    void on_eviction(evict_function evict);

    /// Gives a part back; more than is held gives back all.
    void give_back(amounts less);

    /// Changes the bytes that are held to `bytes`.
    [[nodiscard]] grant try_resize(std::size_t bytes, core::time_point now);

    /// Takes over all that `other` holds.
    void absorb(holder other);

    /// Records what the holder does since `now`. One that was told to end and
    /// does something else by now may be told so again.
    void set_activity(activity doing, core::time_point now);

    [[nodiscard]] amounts held() const;

private:
    friend class client_account;

    holder(std::shared_ptr<client_account> account, std::uint64_t id) noexcept
        : account_(std::move(account)), id_(id)
    {}

    void close() noexcept;

    std::shared_ptr<client_account> account_;
    std::uint64_t id_ = 0;
};

} // namespace godwit::memory
