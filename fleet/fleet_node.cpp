#include "fleet/fleet_node.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <thread>

#include "base/event_log.h"
#include "base/metrics.h"
#include "base/sharded.h"
#include "base/time.h"
#include "fleet/connect_watch.h"
#include "fleet/delivery_watch.h"
#include "fleet/frame_codec.h"
#include "fleet/traffic_counters.h"

namespace balsamdrift {
namespace {

constexpr int send_queue_messages = 1024;
constexpr int receive_queue_messages = 1024;
constexpr nng_duration receive_timeout_ms = 200;

constexpr std::size_t max_message_bytes = std::size_t{64} * 1024 * 1024;

/// A connection that is not established and has not been used for this long is given up, as to a VM
/// that was removed: nng would dial it for good. No protocol of the fleet pauses this long.
constexpr milliseconds unused_connection_time(10'000);

/// Number of closed connections of a shard whose state is kept, since threads of nng may still
/// report on them. Their last reports come within milliseconds.
constexpr std::size_t max_retired_states = 256;

/// Interval of the search for unused connections.
constexpr milliseconds unused_search_interval(1000);

/// What threads of nng report of a connection.
struct connection_state {
    /// Set once the connection has been established; later losses of it are found by
    /// delivery_watch.
    std::atomic<bool> established = false;
    /// Number of open connections of the socket, 0 or 1.
    std::atomic<int> open = 0;
};

/// Outgoing connection to a peer.
struct peer_socket {
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    delivery_watch watch;
    connect_watch connecting;
    std::unique_ptr<connection_state> state = std::make_unique<connection_state>();
    /// When a message was last sent to the peer.
    time_point used_at{};
};

/// One shard of what is known of the peers, by their `address:port`.
struct peer_shard {
    std::map<std::string, peer_socket> sockets;
    /// States of closed connections.
    std::deque<std::unique_ptr<connection_state>> retired_states;
    /// Stamp of the newest frame that was received from each peer.
    std::map<std::string, std::uint64_t> received_stamps;
    /// Peers whose newest frame said that they read short frames.
    std::set<std::string> short_frame_readers;
};

/// Closes the connection of a peer and keeps its state for a while.
void close_peer(peer_shard& shard, peer_socket& peer)
{
    nng_close(peer.socket);
    shard.retired_states.push_back(std::move(peer.state));
    if (shard.retired_states.size() > max_retired_states) {
        shard.retired_states.pop_front();
    }
}

void on_connection_event(nng_pipe /*pipe*/, nng_pipe_ev event, void* state)
{
    auto& it = *static_cast<connection_state*>(state);
    if (event == NNG_PIPE_EV_ADD_POST) {
        it.established = true;
        ++it.open;
    }
    else {
        --it.open;
    }
}

nng_duration to_nng_duration(duration span)
{
    return static_cast<nng_duration>(to_milliseconds(span).count());
}

std::string url_of(const std::string& address) { return "tcp://" + address; }

void report_failed_connection(const std::string& peer, int ec)
{
    log_event(event_id::fleet_connection_failed, {{"peer", peer}, {"reason", nng_strerror(ec)}});
}

}  // namespace

struct fleet_node::implementation {
    fleet_options options;
    nng_socket listener = NNG_SOCKET_INITIALIZER;
    sharded<peer_shard> peers;
    std::thread receive_thread;
    std::atomic<bool> stopping = false;
    receiver on_message;

    void receive_loop();
    void deliver(std::string_view bytes);
    /// Closes the connections that are unused, see unused_connection_time.
    void close_unused_peers(time_point now);
    bool reconnect_if_overdue(const std::string& address, peer_shard& shard, peer_socket& peer,
                              time_point now);
    bool open_peer(const std::string& address, peer_socket& peer) const;
};

void fleet_node::implementation::deliver(std::string_view bytes)
{
    std::optional<fleet_frame> frame = decode_frame(bytes, options.secret);
    if (!frame) {
        return;
    }
    fleet_frame& it = *frame;
    count_message(traffic_direction::received, static_cast<fleet_channel>(it.channel), it.body,
                  bytes.size());
    observe_timeline_stamp(it.stamp);
    peers.with(it.sender, [&](peer_shard& shard) {
        shard.received_stamps[it.sender] = it.stamp;
        if (it.reads_short_frames) {
            shard.short_frame_readers.insert(it.sender);
        }
        else {
            shard.short_frame_readers.erase(it.sender);
        }
        const auto peer = shard.sockets.find(it.sender);
        if (peer != shard.sockets.end()) {
            record_confirmation(peer->second.watch, it.received_stamp);
            record_heard(peer->second.connecting, {}, monotonic_clock::now());
        }
    });
    on_message({static_cast<fleet_channel>(it.channel), std::move(it.sender), std::move(it.body)});
}

void fleet_node::implementation::close_unused_peers(time_point now)
{
    peers.for_each([&](peer_shard& it) {
        for (auto peer = it.sockets.begin(); peer != it.sockets.end();) {
            peer_socket& socket = peer->second;
            if (socket.state->open > 0 || now - socket.used_at < unused_connection_time) {
                ++peer;
                continue;
            }
            close_peer(it, socket);
            peer = it.sockets.erase(peer);
        }
    });
}

void fleet_node::implementation::receive_loop()
{
    time_point search_at = monotonic_clock::now() + unused_search_interval;
    while (!stopping) {
        if (const time_point now = monotonic_clock::now(); now >= search_at) {
            search_at = now + unused_search_interval;
            close_unused_peers(now);
        }
        nng_msg* message = nullptr;
        if (nng_recvmsg(listener, &message, 0) != 0) {
            continue;
        }
        deliver({static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message)});
        nng_msg_free(message);
    }
}

bool fleet_node::implementation::open_peer(const std::string& address, peer_socket& peer) const
{
    if (const int ec = nng_push0_open(&peer.socket); ec != 0) {
        report_failed_connection(address, ec);
        return false;
    }
    nng_socket_set_int(peer.socket, NNG_OPT_SENDBUF, send_queue_messages);
    const attempt_interval interval = next_attempt_interval(peer.connecting, {});
    nng_socket_set_ms(peer.socket, NNG_OPT_RECONNMINT, to_nng_duration(interval.min));
    nng_socket_set_ms(peer.socket, NNG_OPT_RECONNMAXT, to_nng_duration(interval.max));
    nng_pipe_notify(peer.socket, NNG_PIPE_EV_ADD_POST, on_connection_event, peer.state.get());
    nng_pipe_notify(peer.socket, NNG_PIPE_EV_REM_POST, on_connection_event, peer.state.get());
    const int ec = nng_dial(peer.socket, url_of(address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    if (ec != 0) {
        report_failed_connection(address, ec);
        nng_close(peer.socket);
        return false;
    }
    record_dial(peer.connecting, monotonic_clock::now());
    return true;
}

/// Replaces the connection if it is not established in time or the peer does not confirm what was
/// sent over it. Returns false if no new connection can be opened.
bool fleet_node::implementation::reconnect_if_overdue(const std::string& address, peer_shard& shard,
                                                      peer_socket& peer, time_point now)
{
    const bool connecting = !peer.state->established;
    const bool connect_overdue = connecting && is_dial_overdue(peer.connecting, {}, now);
    const bool unconfirmed = is_overdue(peer.watch, now);
    if (!connect_overdue && !unconfirmed) {
        return true;
    }
    if (!connecting) {
        log_event(event_id::fleet_connection_replaced,
                  {{"peer", address},
                   {"waited_ms", milliseconds_text(now - peer.watch.watched->sent_at)}});
    }
    count_metric("balsamdrift_fleet_reconnects_total");
    close_peer(shard, peer);
    peer = {.connecting = connecting ? peer.connecting : connect_watch{}, .used_at = peer.used_at};
    return open_peer(address, peer);
}

fleet_node::fleet_node(fleet_options options) : impl_(std::make_unique<implementation>())
{
    impl_->options = std::move(options);
}

fleet_node::~fleet_node() { stop(); }

outcome<endpoint> fleet_node::start(receiver on_message, const start_retry& retry)
{
    impl_->on_message = std::move(on_message);
    if (nng_pull0_open(&impl_->listener) != 0) {
        return failure{"cannot open a fleet socket"};
    }
    nng_socket_set_ms(impl_->listener, NNG_OPT_RECVTIMEO, receive_timeout_ms);
    nng_socket_set_int(impl_->listener, NNG_OPT_RECVBUF, receive_queue_messages);
    nng_socket_set_size(impl_->listener, NNG_OPT_RECVMAXSZ, max_message_bytes);
    nng_listener listener = NNG_LISTENER_INITIALIZER;
    const std::string url = url_of(to_string(impl_->options.listen));
    auto listening = repeat_start<std::monostate>(
        retry, event_id::address_awaited, [&]() -> outcome<std::monostate> {
            if (const int ec = nng_listen(impl_->listener, url.c_str(), &listener, 0); ec != 0) {
                return failure{"cannot listen for the fleet on " +
                               to_string(impl_->options.listen) + ": " + nng_strerror(ec)};
            }
            return std::monostate{};
        });
    if (!succeeded(listening)) {
        return failure_of(listening);
    }
    nng_sockaddr address;
    nng_listener_get_addr(listener, NNG_OPT_LOCADDR, &address);
    // nng gives the port in network byte order.
    const auto raw = address.s_in.sa_port;
    impl_->options.listen.port = static_cast<std::uint16_t>((raw >> 8) | (raw << 8));
    if (impl_->options.advertised.empty()) {
        impl_->options.advertised = to_string(impl_->options.listen);
    }
    impl_->receive_thread = std::thread([this] { impl_->receive_loop(); });
    return impl_->options.listen;
}

void fleet_node::stop()
{
    if (!impl_->receive_thread.joinable()) {
        return;
    }
    impl_->stopping = true;
    impl_->receive_thread.join();
    nng_close(impl_->listener);
    impl_->peers.for_each([](peer_shard& it) {
        for (auto& [address, peer] : it.sockets) {
            close_peer(it, peer);
        }
        it.sockets.clear();
    });
}

void fleet_node::send(const std::string& address, fleet_channel channel, std::string body,
                      reply_expected reply)
{
    const time_point now = monotonic_clock::now();
    impl_->peers.with(address, [&](peer_shard& it) {
        auto found = it.sockets.find(address);
        if (found == it.sockets.end()) {
            peer_socket peer;
            if (!impl_->open_peer(address, peer)) {
                return;
            }
            found = it.sockets.emplace(address, std::move(peer)).first;
        }
        peer_socket& peer = found->second;
        peer.used_at = now;
        if (is_overdue(peer.watch, now)) {
            // An older build may have taken the peer's place.
            it.short_frame_readers.erase(address);
        }
        if (!impl_->reconnect_if_overdue(address, it, peer, now)) {
            it.sockets.erase(found);
            return;
        }
        const auto received = it.received_stamps.find(address);
        const fleet_frame frame{.channel = static_cast<std::uint8_t>(channel),
                                .sender = impl_->options.advertised,
                                .stamp = next_timeline_stamp(),
                                .body = std::move(body),
                                .received_stamp =
                                    received == it.received_stamps.end() ? 0 : received->second,
                                .reads_short_frames = true};
        std::string bytes =
            encode_frame(frame, it.short_frame_readers.contains(address), impl_->options.secret);
        count_message(traffic_direction::sent, channel, frame.body, bytes.size());
        if (reply == reply_expected::yes) {
            record_sent(peer.watch, {}, frame.stamp, bytes.size(), now);
        }
        else {
            peer.watch.bytes_behind += bytes.size();
        }
        // The message is dropped if the queue is full; every protocol repeats its messages if it
        // needs them delivered.
        (void)nng_send(peer.socket, bytes.data(), bytes.size(), NNG_FLAG_NONBLOCK);
    });
}

std::string fleet_node::address() const { return impl_->options.advertised; }

}  // namespace balsamdrift
