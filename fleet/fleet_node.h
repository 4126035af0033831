#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/endpoint.h"
#include "base/outcome.h"
#include "fleet/fleet_message.h"

namespace balsamdrift {

/// Settings of a fleet node.
struct fleet_options {
    endpoint listen;
    /// `address:port` that other processes are told; empty for the one listened on.
    std::string advertised;
    /// Secret of the whole fleet. Frames that are not signed with it are dropped.
    std::string secret;
};

/// Sends and receives one-way messages between processes of the system over nng.
class fleet_node {
public:
    /// Called on a receiving thread for every message.
    using receiver = std::function<void(fleet_message)>;

    explicit fleet_node(fleet_options options);
    ~fleet_node();
    fleet_node(const fleet_node&) = delete;
    fleet_node& operator=(const fleet_node&) = delete;

    /// Listens and delivers messages to `on_message` until stop(). Gives the address in use.
    outcome<endpoint> start(receiver on_message);

    /// Stops delivering. No call of the receiver runs afterwards.
    void stop();

    /// Sends without waiting. A message to a process that cannot be reached is dropped once the
    /// queue to it is full.
    void send(const std::string& address, fleet_channel channel, std::string body);

    /// The address under which others reach this node.
    std::string address() const;

private:
    struct implementation;
    std::unique_ptr<implementation> impl_;
};

}  // namespace balsamdrift
