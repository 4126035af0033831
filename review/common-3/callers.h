#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "rig/soak/connection.h"
#include "rig/soak/http.h"
#include "rig/soak/journal.h"

namespace review {

using namespace balsamdrift;
using namespace balsamdrift::soak;

/// Answer to one message of a caller. Without a code it succeeded; incomplete if the connection
/// ended first.
struct caller_answer {
    bool complete = false;
    std::string code;
    std::string text;
    std::string row;
    std::string state;
};

/// A client's session.
class caller {
public:
    caller(event_loop& loop, journal& record) : loop_(loop), record_(record) {}
    task<caller_answer> open(address entry, std::string database, std::string key);
    task<caller_answer> ask(std::string id, std::string text, duration limit = seconds(5));
    bool is_open() const { return conn_ != nullptr && !conn_->is_closed(); }
    void hang_up() { conn_.reset(); }

private:
    task<caller_answer> read(time_point until);

    event_loop& loop_;
    journal& record_;
    std::unique_ptr<connection> conn_;
};

/// A new id of a statement.
std::string new_id();

/// Sends a configuration to one member after the other until it is acknowledged. False if none
/// acknowledges it by the time.
task<bool> send_configuration(event_loop& loop, journal& record, std::vector<address> members,
                              std::string document, time_point until);

/// Waits until the ready probes of all entries are answered with 200.
task<bool> await_ready(event_loop& loop, std::vector<address> entries, time_point until);

}  // namespace review
