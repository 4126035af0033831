#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/routing/placement.h"
#include "core/statements/statement.h"

namespace balsamdrift {

/// The instance that a connection is opened to, and the customer that it is opened for.
struct connection_target {
    std::string address;
    /// Expected identity of the instance. An instance with another identity refuses the connection.
    std::string instance;
    std::string service;
    /// Customer whose statements run on the connection; empty on routes that are open to all.
    std::string customer;
    /// Distance to the instance, by which its traffic is counted.
    proximity distance = proximity::same_failure_domain;
};

/// Why a connection ended.
enum class connection_end_reason : std::uint8_t {
    /// The connection could not be established, so nothing was sent.
    unreachable,
    /// The machine answered that nothing listens at the address, so nothing was sent.
    not_listening,
    /// The instance refused the connection with an error.
    refused,
    /// The connection broke after it was established.
    broken,
};

/// Callbacks of a connection. They are never called from within open or send.
struct connection_events {
    /// The instance accepted the connection.
    std::function<void(const statement_answer&)> on_started;
    /// The instance answered the oldest statement that had no answer yet.
    std::function<void(const statement_answer&)> on_answer;
    /// First rows of that answer, which is too long to be held. Further ones follow in the same
    /// way, and the last with on_answer. If this is not set, an answer is held whatever its length.
    std::function<void(std::vector<std::string>)> on_rows;
    /// The connection ended; no callback follows. The error is set if the instance refused it.
    std::function<void(connection_end_reason, const statement_error&)> on_end;
};

/// A connection to an instance. Statements are answered in the order in which they are sent.
struct instance_connection {
    std::function<void(const statement&)> send;
    /// Stops receiving, so that the instance waits, or goes on.
    std::function<void(bool)> set_paused;
    /// Ends the connection; no callback follows.
    std::function<void()> close;
};

/// Opens a connection. Statements may be sent at once; they are sent after the connection request.
using connection_opener =
    std::function<instance_connection(const connection_target&, connection_events)>;

}  // namespace balsamdrift
