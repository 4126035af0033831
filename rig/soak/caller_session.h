#pragma once

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "rig/soak/connection.h"
#include "rig/soak/judge.h"

namespace balsamdrift::soak {

/// Answer to one message of a caller.
struct caller_answer {
    /// The answer came in full.
    bool complete = false;
    bool success = false;
    std::string code;
    std::string receipt;
    char state = '-';
};

/// How one attempt of an operation ended.
enum class attempt_result { success, nothing_kept, failed, unknown };

/// What an operation does.
struct operation_plan {
    bool transaction = false;
    bool read_only = false;
    /// Statements of a transaction; a single statement otherwise.
    int statements = 1;
    double write_share = 0;
    /// Longest pause between statements.
    milliseconds pause{};
    bool rolls_back = false;
    /// The caller goes away before the end.
    bool leaves = false;
};

/// A caller's connection to an entry.
class caller_session {
public:
    caller_session(event_loop& loop, judge& verdicts, std::mt19937_64& random, std::string database,
                   std::string key, bool explores);

    /// Connects and starts the session. Nothing: no answer.
    task<caller_answer> open(machine& entry);
    bool is_open() const { return conn_ != nullptr && !conn_->is_closed(); }
    void hang_up() { conn_.reset(); }
    task<attempt_result> attempt(operation_plan plan, time_point deadline);
    /// Prepares a read and a write that `attempt` then executes now and then. False if that failed.
    task<bool> prepare();
    const machine* entry() const { return origin_.entry; }

private:
    task<caller_answer> ask(std::string text, bool writes, std::string shape, time_point until);
    task<caller_answer> read_answer(time_point until);
    task<caller_answer> run_statement(bool writes, time_point until);
    void note_failure(const char* what, const caller_answer& answer);
    attempt_result judge_failure(const caller_answer& answer);

    event_loop& loop_;
    judge& verdicts_;
    std::mt19937_64& random_;
    statement_record origin_;
    std::unique_ptr<connection> conn_;
    std::string shape_;
    std::string last_id_;
    /// Writes of the attempt that runs.
    std::vector<std::string> writes_;
    bool commit_sent_ = false;
    bool in_transaction_ = false;
};

}  // namespace balsamdrift::soak
