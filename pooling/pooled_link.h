#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/time.h"
#include "pooling/instance_connection.h"

namespace balsamdrift {

/// Values that a session has set, by name.
using session_values = std::map<std::string, std::string>;

/// What an answer on a connection belongs to.
enum class answer_purpose : std::uint8_t {
    /// A value or a prepared statement that the session needs there.
    set_up,
    /// The beginning of the session's transaction.
    begin,
    /// The statement itself.
    main,
};

/// A statement on its way.
struct expected_answer {
    answer_purpose purpose = answer_purpose::main;
    time_point sent_at{};
};

/// A connection to an instance and what the instance keeps for it.
struct pooled_link {
    std::string instance;
    std::string service;
    std::string customer;
    instance_connection io;
    bool started = false;
    session_values values;
    /// Names of prepared statements that the connection has.
    std::set<std::string> prepared;
    std::deque<expected_answer> expected;
    /// Session that uses the connection; zero while it is idle.
    std::uint64_t session = 0;
    time_point opened_at{};
    time_point used_at{};
};

using pooled_link_ptr = std::shared_ptr<pooled_link>;

}  // namespace balsamdrift
