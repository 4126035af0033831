#pragma once

#include <functional>
#include <string>

#include "core/statements/statement.h"

namespace balsamdrift {

/// Whom a connection to an instance is for.
struct connection_target {
    std::string address;
    /// The instance refuses the connection if it is not this one.
    std::string instance;
    std::string service;
    /// Customer whose statements run on the connection; empty on routes open to all.
    std::string customer;
};

/// Why a connection ended.
enum class connection_end_reason : std::uint8_t {
    /// No connection came about, so nothing was sent.
    unreachable,
    /// The instance refused the connection with an error.
    refused,
    /// The connection broke after it had been accepted.
    broken,
};

/// What a connection reports. Never called from within open or send.
struct connection_events {
    /// The instance accepted the connection.
    std::function<void(const statement_answer&)> on_started;
    /// The next statement, in the order they were sent, was answered.
    std::function<void(const statement_answer&)> on_answer;
    /// The connection ended; nothing is called afterwards. The error is set when it was refused.
    std::function<void(connection_end_reason, const statement_error&)> on_end;
};

/// A connection to an instance: statements go out in order and are answered in order.
struct instance_connection {
    std::function<void(const statement&)> send;
    /// Ends the connection; nothing is reported any more.
    std::function<void()> close;
};

/// Opens a connection. Statements may be sent at once; they follow the opening line.
using connection_opener =
    std::function<instance_connection(const connection_target&, connection_events)>;

}  // namespace balsamdrift
