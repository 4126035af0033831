#include "rig/soak/caller_session.h"

#include <algorithm>
#include <array>

#include "rig/soak/http.h"

namespace balsamdrift::soak {

namespace {

/// A caller gives up a session that is not ready after this time.
constexpr seconds start_limit(2);
constexpr int items = 2000;
/// One in so many statements is a prepared one, once it is prepared.
constexpr int prepared_share = 4;
/// The prepared read and the prepared write of a session.
constexpr std::array<const char*, 2> prepared_kinds{"s1 READ ", "s2 WRITE "};
/// Callers draw from so few shapes that several of them meet on one connection.
constexpr int shapes = 50;

/// A shape to prepare. Half of them have blanks, and words that are also part of statements.
std::string draw_shape(std::mt19937_64& random)
{
    const std::string plain = "q" + std::to_string(random() % shapes);
    constexpr std::array<const char*, 5> endings{" READ lw", " WRITE zg", " q1", " ",
                                                 " s1 READ q2"};
    const std::uint64_t drawn = random() % (2 * endings.size() + 2);
    if (drawn < endings.size()) {
        return plain + endings[drawn];
    }
    return drawn == endings.size() ? " " + plain : plain;
}

/// What follows the name in the text of an execution.
std::string arguments_of_execution(const std::string& text)
{
    return text.substr(text.find(' ', text.find(' ') + 1) + 1);
}

std::string hex_id(std::mt19937_64& random)
{
    std::array<char, 20> buf{};
    std::snprintf(buf.data(), buf.size(), "%016llx", static_cast<unsigned long long>(random()));
    return buf.data();
}

bool is_promise(const std::string& code)
{
    constexpr std::array promises{"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"};
    return std::any_of(promises.begin(), promises.end(),
                       [&](const char* it) { return code == it; });
}

}  // namespace

caller_session::caller_session(event_loop& loop, judge& verdicts, std::mt19937_64& random,
                               std::string database, std::string key, bool explores)
    : loop_(loop),
      verdicts_(verdicts),
      random_(random),
      origin_{.database = std::move(database), .key = std::move(key), .explores = explores}
{
}

task<caller_answer> caller_session::open(machine& entry)
{
    hang_up();
    shape_.clear();
    origin_.entry = &entry;
    origin_.incarnation = entry.incarnation;
    origin_.sent_at = origin_.began_at = monotonic_clock::now();
    const time_point until = origin_.sent_at + start_limit;
    conn_ = co_await connection::open(loop_, entry.service_address, start_limit, &entry.path);
    if (conn_ == nullptr) {
        const caller_answer none;
        note_failure("connect ", none);
        co_return none;
    }
    conn_->send("STARTUP " + origin_.database + " " + origin_.key + "\r\n");
    caller_answer out = co_await read_answer(until);
    if (out.code == "NODB" || out.code == "NOAUTH") {
        verdicts_.caller_refused(origin_, out.code);
    }
    if (!out.complete || !out.success) {
        note_failure("STARTUP ", out);
        hang_up();
    }
    co_return out;
}

void caller_session::note_failure(const char* what, const caller_answer& answer)
{
    if (!origin_.explores) {
        verdicts_.served().failure(what + (answer.code.empty() ? "no answer" : answer.code));
    }
}

task<caller_answer> caller_session::read_answer(time_point until)
{
    caller_answer out;
    while (true) {
        std::optional<std::string> line = co_await conn_->line(until);
        if (!line) {
            // An error during the start is followed by a close.
            out.complete = false;
            co_return out;
        }
        const std::string kind = take_word(*line);
        if (kind == "COMPLETE") {
            out.receipt = take_word(*line);
        }
        else if (kind == "ERROR") {
            out.code = take_word(*line);
        }
        else if (kind == "READY") {
            out.state = line->empty() ? '-' : line->front();
            out.complete = true;
            out.success = out.code.empty();
            co_return out;
        }
    }
}

task<caller_answer> caller_session::ask(std::string text, bool writes, std::string shape,
                                        time_point until)
{
    if (!is_open()) {
        co_return caller_answer{};
    }
    last_id_ = hex_id(random_);
    statement_record sent = origin_;
    sent.sent_at = monotonic_clock::now();
    if (!in_transaction_) {
        origin_.began_at = sent.sent_at;
    }
    sent.began_at = origin_.began_at;
    sent.writes = writes;
    sent.arguments = shape.empty() ? text : arguments_of_execution(text);
    sent.shape = std::move(shape);
    if (writes) {
        writes_.push_back(last_id_);
    }
    verdicts_.statement_sent(last_id_, sent);
    const std::string id = last_id_;
    conn_->send("QUERY " + id + " " + text + "\r\n");
    caller_answer out = co_await read_answer(until);
    if (out.code == "NODB" || out.code == "NOAUTH") {
        verdicts_.caller_refused(sent, out.code);
    }
    if (out.complete && out.success && !out.receipt.empty() && out.receipt != "-") {
        verdicts_.statement_succeeded(id, out.receipt);
    }
    if (!out.complete) {
        hang_up();
    }
    co_return out;
}

task<bool> caller_session::prepare()
{
    const std::string shape = draw_shape(random_);
    for (const char* const kind : prepared_kinds) {
        const std::string text = std::string("PREPARE ") + kind + shape;
        const caller_answer out =
            co_await ask(text, false, std::string(), monotonic_clock::now() + start_limit);
        if (!out.complete || !out.success) {
            hang_up();
            co_return false;
        }
    }
    shape_ = shape;
    co_return true;
}

task<caller_answer> caller_session::run_statement(bool writes, time_point until)
{
    const std::string item = std::to_string(random_() % items);
    std::string text = (writes ? "WRITE " : "READ ") + item + (writes ? " d" + last_id_ : "");
    std::string shape;
    if (!shape_.empty() && random_() % prepared_share == 0) {
        text = writes ? "EXECUTE s2 " + item + " d" + last_id_ : "EXECUTE s1 " + item;
        shape = (writes ? "WRITE " : "READ ") + shape_;
    }
    caller_answer out = co_await ask(text, writes, shape, until);
    co_return out;
}

attempt_result caller_session::judge_failure(const caller_answer& answer)
{
    note_failure("", answer);
    const bool promised = answer.complete && is_promise(answer.code);
    if (promised) {
        for (const std::string& id : writes_) {
            verdicts_.promised_nothing(id);
        }
    }
    // After a failed attempt the caller closes a session that is not idle.
    if (answer.state != 'I') {
        hang_up();
    }
    if (promised) {
        return attempt_result::nothing_kept;
    }
    if (answer.code == "FAILED" && writes_.empty()) {
        return attempt_result::failed;
    }
    return commit_sent_ && !writes_.empty() ? attempt_result::unknown : attempt_result::failed;
}

task<attempt_result> caller_session::attempt(operation_plan plan, time_point deadline)
{
    writes_.clear();
    commit_sent_ = false;
    in_transaction_ = false;
    caller_answer answer;
    const auto is_write = [&] {
        return std::uniform_real_distribution<>(0, 1)(random_) < plan.write_share;
    };
    if (!plan.transaction) {
        const bool writes = is_write();
        commit_sent_ = writes;
        answer = co_await run_statement(writes, deadline);
        co_return answer.success ? attempt_result::success : judge_failure(answer);
    }
    std::string text = plan.read_only ? "BEGIN READ" : "BEGIN";
    answer = co_await ask(text, false, std::string(), deadline);
    in_transaction_ = answer.success;
    for (int n = 0; n < plan.statements && answer.success; ++n) {
        if (plan.pause > milliseconds(0)) {
            const milliseconds pause(random_() % static_cast<unsigned>(plan.pause.count()));
            deadline += pause;  // pauses do not count
            co_await loop_.sleep(pause);
        }
        const bool writes = !plan.read_only && is_write();
        answer = co_await run_statement(writes, deadline);
    }
    if (answer.success && plan.leaves) {
        hang_up();
        co_return attempt_result::success;
    }
    if (answer.success) {
        commit_sent_ = !plan.rolls_back;
        text = plan.rolls_back ? "ROLLBACK" : "COMMIT";
        answer = co_await ask(text, false, std::string(), deadline);
    }
    in_transaction_ = false;
    co_return answer.success ? attempt_result::success : judge_failure(answer);
}

}  // namespace balsamdrift::soak
