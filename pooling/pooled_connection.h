#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "base/time.h"
#include "pooling/instance_connection.h"
#include "pooling/prepared_names.h"

namespace balsamdrift {

/// Values that a session has set, by name.
using session_values = std::map<std::string, std::string>;

/// Purpose of a statement that is sent on a connection.
enum class answer_purpose : std::uint8_t {
    /// Sets a value or prepares a statement that the session needs.
    set_up,
    /// Begins the session's transaction.
    begin,
    /// The caller's own statement.
    request,
    /// Rolls back a transaction that failed.
    roll_back,
};

/// An answer that the instance still owes.
struct expected_answer {
    answer_purpose purpose = answer_purpose::request;
    time_point sent_at{};
};

/// A connection to an instance and the state that the instance keeps for it.
struct pooled_connection {
    std::string instance;
    std::string service;
    std::string customer;
    instance_connection transport;
    /// True once the instance has accepted the connection.
    bool accepted = false;
    session_values values;
    /// Statements that are prepared on the connection.
    prepared_names prepared;
    /// Answers to the statements that were sent, oldest first.
    std::deque<expected_answer> expected_answers;
    /// True while the instance waits because the caller takes the rows of its answer slowly.
    bool paused = false;
    /// Number of the session that uses the connection; zero while it is idle.
    std::uint64_t session = 0;
    /// True while the instance rolls back a transaction that failed. No session uses the connection
    /// then.
    bool rolls_back = false;
    time_point opened_at{};
    /// When the connection was last assigned to a session or released by one.
    time_point last_used_at{};
};

using pooled_connection_ptr = std::shared_ptr<pooled_connection>;

}  // namespace balsamdrift
