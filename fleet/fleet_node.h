#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/endpoint.h"
#include "base/outcome.h"
#include "base/start_retry.h"
#include "fleet/fleet_message.h"

namespace balsamdrift {

/// Settings of a fleet node.
struct fleet_options {
    endpoint listen;
    /// `address:port` at which other processes reach this one; if empty, the one in `listen`.
    std::string advertised;
    /// Secret shared by the whole fleet. Frames that are not signed with it are dropped.
    std::string secret;
};

/// Whether the peer sends something in reply to a message, soon, whatever it thinks of it.
enum class reply_expected {
    /// The connection is replaced if nothing comes that confirms the message.
    yes,
    /// The message ends an exchange; a lack of replies says nothing about the connection.
    no,
};

/// Sends and receives one-way messages between processes of the system over nng. send() may be
/// called from any thread.
class fleet_node {
public:
    /// Called on the receiving thread for every message.
    using receiver = std::function<void(fleet_message)>;

    explicit fleet_node(fleet_options options);
    ~fleet_node();
    fleet_node(const fleet_node&) = delete;
    fleet_node& operator=(const fleet_node&) = delete;

    /// Listens and delivers messages to `on_message` until stop(). Returns the address listened on,
    /// with the port that was assigned if the one in the options is 0.
    outcome<endpoint> start(receiver on_message, const start_retry& retry = {});

    /// Stops listening and closes all connections. The receiver is not called afterwards.
    void stop();

    /// Queues a message without blocking. Messages to a process that cannot be reached are dropped
    /// once the queue to it is full.
    void send(const std::string& address, fleet_channel channel, std::string body,
              reply_expected reply = reply_expected::yes);

    /// `address:port` at which other processes reach this one; valid after start().
    std::string address() const;

private:
    struct implementation;
    std::unique_ptr<implementation> impl_;
};

}  // namespace balsamdrift
