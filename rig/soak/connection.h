#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "rig/soak/address.h"
#include "rig/soak/event_loop.h"
#include "rig/soak/link.h"
#include "rig/soak/task.h"
#include "rig/soak/waiter.h"

namespace balsamdrift::soak {

/// A TCP connection of a stand-in. One coroutine reads from it at a time.
class connection : descriptor_handler {
public:
    /// Takes over a connected or connecting descriptor. The link, if any, outlives the connection.
    connection(event_loop& loop, int fd, const link* over);
    ~connection() override;
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Connects; null if that fails or takes longer.
    static task<std::unique_ptr<connection>> open(event_loop& loop, address to, duration limit,
                                                  const link* over = nullptr);

    /// The next line without its end; nothing at the deadline or at the end of the stream.
    task<std::optional<std::string>> line(time_point until);
    /// So many bytes; nothing if they do not arrive.
    task<std::optional<std::string>> bytes(std::size_t size, time_point until);
    /// Waits for the first byte of the peer or the end of the stream. False at the deadline.
    task<bool> arrives(time_point until);
    void send(const std::string& bytes);
    /// Ends the connection at this end; the coroutine that reads from it goes on.
    void close();
    bool is_closed() const { return closed_; }
    bool has_input() const { return !input_.empty(); }
    std::string take_input() { return std::exchange(input_, {}); }

private:
    bool is_dead() const { return over_ != nullptr && opened_ < over_->dead_before; }
    void on_events(std::uint32_t events) override;
    void read_available();
    void write_pending();
    void watch();

    event_loop& loop_;
    int fd_;
    const link* over_;
    time_point opened_;
    std::uint64_t token_ = 0;
    std::uint32_t events_ = 0;
    bool connected_ = false;
    bool closed_ = false;
    bool paused_ = false;
    std::string input_;
    std::string output_;
    waiter changed_;
    std::optional<event_loop::timer> later_;
    std::optional<event_loop::timer> resume_;
};

/// Creates a listening socket; -1 if the address cannot be used.
int listen_on(const address& at);

/// Accepts connections until it is destroyed.
class listener : descriptor_handler {
public:
    using accepted = std::function<void(std::unique_ptr<connection>)>;
    listener(event_loop& loop, const address& at, const link* over, accepted action);
    ~listener() override;
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;
    bool is_open() const { return fd_ >= 0; }

private:
    void on_events(std::uint32_t events) override;

    event_loop& loop_;
    const link* over_;
    accepted action_;
    int fd_;
    std::uint64_t token_ = 0;
};

}  // namespace balsamdrift::soak
