#include "database.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

namespace review {
namespace {

constexpr milliseconds replication_interval(2);
constexpr seconds step_down_delay(1);
constexpr seconds heartbeat_limit(1);
constexpr milliseconds connection_work(12);
/// Long answers are sent in blocks.
constexpr std::size_t block_bytes = std::size_t{1024} * 1024;
constexpr milliseconds block_interval(10);

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::pair<std::uint64_t, std::uint64_t> read_position(const std::string& text)
{
    const auto dot = text.find('.');
    return {std::strtoull(text.c_str(), nullptr, 10),
            dot == std::string::npos ? 0 : std::strtoull(text.c_str() + dot + 1, nullptr, 10)};
}

}  // namespace

database::database(event_loop& loop, journal& record, database_options options,
                   std::vector<address> control)
    : loop_(loop), record_(record), options_(std::move(options)), control_(std::move(control))
{
}

node& database::add(const std::string& id, const address& at, const std::string& zone, duration lag,
                    bool primary, std::size_t reports_to)
{
    auto it = std::make_unique<node>();
    it->id = id;
    it->at = at;
    it->zone = zone;
    it->lag = lag;
    it->primary = primary;
    it->reports_to = reports_to;
    it->beat_now = std::make_unique<waiter>(loop_);
    nodes_.push_back(std::move(it));
    return *nodes_.back();
}

void database::start(node& it)
{
    it.down = false;
    it.born = unix_ms();
    it.sequence = 0;
    ++it.starts;
    const node* newest = primary();
    if (newest != nullptr && newest != &it && newest->term > it.term) {
        it.primary = false;
    }
    it.door = std::make_unique<listener>(
        loop_, it.at, nullptr,
        [this, &it](std::unique_ptr<connection> conn) { serve(it, std::move(conn)); });
    record_.note(it.id + " starts as " + (it.primary ? "primary" : "replica"));
    heartbeat(it);
}

void database::crash(node& it)
{
    record_.note(it.id + (it.primary ? ", the primary," : "") + " crashes with " +
                 std::to_string(it.log.size()) + " commits");
    it.down = true;
    ++it.starts;
    it.door.reset();
    for (connection* conn : it.connections) {
        conn->close();
    }
    it.beat_now->notify();
}

node* database::primary()
{
    node* best = nullptr;
    for (const auto& it : nodes_) {
        if (it->primary && !it->down && (best == nullptr || it->term > best->term)) {
            best = it.get();
        }
    }
    return best;
}

node* database::find(const std::string& id)
{
    for (const auto& it : nodes_) {
        if (it->id == id) {
            return it.get();
        }
    }
    return nullptr;
}

bool database::has(const node& it, const std::string& id) const
{
    return std::any_of(it.log.rbegin(), it.log.rend(),
                       [&](const commit_entry& entry) { return entry.id == id; });
}

background database::replicate()
{
    while (true) {
        co_await loop_.sleep(replication_interval);
        const node* const from = primary();
        const time_point now = monotonic_clock::now();
        for (const auto& to : nodes_) {
            if (from == nullptr || to.get() == from || to->down) {
                to->sees_newer_since = time_point::max();
                continue;
            }
            if (to->primary) {
                to->sees_newer_since = std::min(to->sees_newer_since, now);
                if (now - to->sees_newer_since < step_down_delay) {
                    continue;
                }
                to->primary = false;
                to->beat_now->notify();
            }
            std::size_t same = std::min(to->log.size(), from->log.size());
            while (same > 0 && to->log[same - 1].id != from->log[same - 1].id) {
                --same;
            }
            if (same < to->log.size()) {
                record_.note(to->id + " rolls back " + std::to_string(to->log.size() - same) +
                             " commits");
                to->log.resize(same);
            }
            to->term = std::max(to->term, from->term);
            while (to->log.size() < from->log.size() &&
                   now - from->log[to->log.size()].at >= to->lag) {
                to->log.push_back(from->log[to->log.size()]);
            }
        }
    }
}

task<bool> database::call_control(node& it, std::string call, std::string body)
{
    const int start = it.starts;
    for (std::size_t n = 0; n < control_.size() && it.starts == start; ++n) {
        http_request request{.to = control_[it.reports_to % control_.size()],
                             .method = "POST",
                             .path = "/balsamdrift/instances/" + it.id + call,
                             .body = body,
                             .limit = heartbeat_limit};
        const http_answer answer = co_await http_call(loop_, request);
        record_.note(it.id + call + " to " + request.to.text() + ": " +
                     std::to_string(answer.status));
        if (answer.status >= 200 && answer.status < 300) {
            co_return true;
        }
        ++it.reports_to;
    }
    co_return false;
}

background database::heartbeat(node& it)
{
    const int start = it.starts;
    while (it.starts == start) {
        const std::string body =
            nlohmann::json{{"service", options_.service},
                           {"address", it.at.text()},
                           {"zone", it.zone},
                           {"version", "v1"},
                           {"slots", 8},
                           {"state", it.draining ? "draining" : "ready"},
                           {"warmupLeftMs", 0},
                           {"dbRole", it.primary ? "primary" : "replica"},
                           {"born", it.born},
                           {"sequence", ++it.sequence}}
                .dump();
        const std::string call = "/heartbeat";
        (void)co_await call_control(it, call, body);
        if (it.starts == start) {
            co_await it.beat_now->wait(monotonic_clock::now() + options_.heartbeat);
        }
    }
}

background database::release(node& it)
{
    const int start = it.starts;
    record_.note(it.id + (it.primary ? ", the primary," : "") + " is to leave");
    it.draining = true;
    it.beat_now->notify();
    co_await loop_.sleep(options_.drain);
    if (it.starts != start) {
        co_return;
    }
    const std::string call = "/deregister";
    const std::string body = "{\"born\":" + std::to_string(it.born) + "}";
    (void)co_await call_control(it, call, body);
    const bool was_primary = it.primary;
    record_.note(it.id + " ends");
    crash(it);
    co_await loop_.sleep(options_.reuse);
    it.id = "i-new-" + std::to_string(++next_id_);
    it.draining = false;
    it.primary = was_primary && primary() == nullptr;
    this->start(it);
}

void database::serve_platform(const address& at)
{
    platform_ = std::make_unique<listener>(loop_, at, nullptr,
                                           [this](std::unique_ptr<connection> conn) {
                                               serve_promotions(std::move(conn));
                                           });
}

background database::serve_promotions(std::unique_ptr<connection> conn)
{
    while (true) {
        auto call = co_await read_call(*conn, monotonic_clock::now() + seconds(5));
        if (!call) {
            co_return;
        }
        const auto body = nlohmann::json::parse(call->body, nullptr, false);
        const std::string id = body.is_object() ? body.value("id", "") : "";
        if (platform_delay > duration::zero()) {
            const duration delay = platform_delay;
            record_.note("platform: a call to promote " + id + " arrives and is handled " +
                         std::to_string(to_milliseconds(delay).count()) + " ms later");
            co_await loop_.sleep(delay);
        }
        node* const chosen = find(id);
        const int status = chosen == nullptr ? 404 : chosen->down ? 409 : 200;
        record_.note("platform: promote " + id + ", holder " + call->headers["x-duty-holder"] +
                     ", token " + call->headers["x-fencing-token"] + ": " +
                     std::to_string(status));
        answer_call(*conn, status);
        if (status == 200) {
            loop_.at(monotonic_clock::now() + options_.promotion, [this, id] { promote(id); });
        }
    }
}

void database::promote(const std::string& id)
{
    node* const it = find(id);
    if (it == nullptr || it->down || it == primary()) {
        return;
    }
    std::uint64_t newest = 0;
    for (const auto& other : nodes_) {
        newest = std::max(newest, other->term);
    }
    it->term = newest + 1;
    it->primary = true;
    it->beat_now->notify();
    record_.note(id + " leads term " + std::to_string(it->term) + " with " +
                 std::to_string(it->log.size()) + " commits");
    if (on_promoted) {
        on_promoted(*it);
    }
}

std::string database::ready(const node& it, const std::string& state) const
{
    return "READY " + state + " " + std::to_string(it.term) + "." + std::to_string(it.log.size()) +
           "\r\n";
}

background database::serve(node& it, std::unique_ptr<connection> conn)
{
    const int start = it.starts;
    it.connections.insert(conn.get());
    std::string state;
    std::vector<std::string> writes;
    while (true) {
        std::optional<std::string> line = co_await conn->line(time_point::max());
        if (!line || it.starts != start) {
            break;
        }
        std::string text = std::move(*line);
        const bool goes_on = co_await process(it, *conn, text, state, writes);
        if (!goes_on || it.starts != start) {
            break;
        }
    }
    it.connections.erase(conn.get());
}

bool database::is_received(const node& from, std::size_t count) const
{
    int copies = 0;
    for (const auto& it : nodes_) {
        copies += it.get() != &from && it->log.size() >= count &&
                          it->log[count - 1].id == from.log[count - 1].id
                      ? 1
                      : 0;
    }
    return copies >= options_.synchronous_replicas;
}

task<bool> database::commit(node& it, std::vector<std::string> ids)
{
    const int start = it.starts;
    const std::uint64_t term = it.term;
    for (const std::string& id : ids) {
        record_.note("run: " + it.id + " commits " + id);
        if (const node* const newest = primary(); newest != nullptr && newest != &it) {
            committed_at_old_primary.insert(id);
        }
        it.log.push_back({it.term, id, monotonic_clock::now()});
    }
    const std::size_t count = it.log.size();
    while (it.starts == start && it.term == term && it.primary && !is_received(it, count)) {
        co_await loop_.sleep(replication_interval);
    }
    co_return it.starts == start && it.term == term && it.primary;
}

task<bool> database::process(node& it, connection& conn, std::string line, std::string& state,
                             std::vector<std::string>& writes)
{
    const int start = it.starts;
    const std::string kind = take_word(line);
    if (kind == "STARTUP") {
        const std::string wanted = take_word(line);
        (void)take_word(line);
        const std::string expected = take_word(line);
        if (wanted != options_.service || (!expected.empty() && expected != it.id)) {
            conn.send("ERROR MISROUTED " + it.id + "\r\n");
            co_return false;
        }
        co_await loop_.sleep(connection_work);
        state = "I";
        conn.send(ready(it, state));
        co_return it.starts == start;
    }
    if (kind != "QUERY" || state.empty()) {
        co_return false;
    }
    const std::string id = take_word(line);
    std::string verb = take_word(line);
    const auto fail = [&](const std::string& code) {
        state = state == "T" ? "E" : state;
        conn.send("ERROR " + code + " " + it.id + "\r\n" + ready(it, state));
        return true;
    };
    const auto succeed = [&](const std::string& row, bool receipt) {
        conn.send((row.empty() ? "" : "ROW " + row + "\r\n") + "COMPLETE " +
                  (receipt ? it.id + "." + std::to_string(++receipts_) : "-") + "\r\n" +
                  ready(it, state));
        return true;
    };
    if (verb == "AFTER") {
        const auto after = read_position(take_word(line));
        verb = take_word(line);
        if (std::pair(it.term, std::uint64_t{it.log.size()}) < after) {
            co_return fail("LAGGING");
        }
    }
    if (verb == "STATUS" || verb == "STEPDOWN") {
        if (verb == "STEPDOWN" && it.primary &&
            it.term < std::strtoull(line.c_str(), nullptr, 10)) {
            it.primary = false;
            it.beat_now->notify();
        }
        co_return succeed(std::string(it.primary ? "primary" : "replica") + " " +
                              std::to_string(it.term) + " " + std::to_string(it.term) + "." +
                              std::to_string(it.log.size()) + " 0 " +
                              std::to_string(to_milliseconds(it.lag).count()) + " 0 " +
                              std::to_string(it.connections.size()),
                          false);
    }
    if (verb == "SET" || verb == "PREPARE" || verb == "DEALLOCATE" || verb == "DISCARD") {
        co_return succeed("", false);
    }
    if (state == "E" && verb != "COMMIT" && verb != "ROLLBACK") {
        co_return fail("MALFORMED");
    }
    if (verb == "BEGIN") {
        if (line != "READ" && !it.primary) {
            co_return fail("READONLY");
        }
        state = "T";
        writes.clear();
        co_return succeed("", true);
    }
    if (verb == "ROLLBACK" || (verb == "COMMIT" && state == "E")) {
        state = "I";
        writes.clear();
        co_return succeed("", true);
    }
    co_await loop_.sleep(options_.work);
    if (it.starts != start) {
        co_return false;
    }
    if (verb == "READ" && line == "audit") {
        record_.note("run: " + it.id + " reads audit for " + id);
        const std::string row = "ROW " + std::string(audit_row_bytes, 'x') + "\r\n";
        std::string block;
        for (int n = 0; n < audit_rows && !conn.is_closed(); ++n) {
            block += row;
            if (block.size() >= block_bytes) {
                conn.send(block);
                block.clear();
                co_await loop_.sleep(block_interval);
            }
        }
        conn.send(block);
        co_return it.starts == start && !conn.is_closed() && succeed("", true);
    }
    if (verb == "READ") {
        co_return succeed("row", true);
    }
    if (!it.primary) {
        co_return fail("READONLY");
    }
    if (verb == "WRITE") {
        writes.push_back(id);
        if (state == "T") {
            co_return succeed("", true);
        }
    }
    else if (verb != "COMMIT") {
        co_return fail("MALFORMED");
    }
    state = "I";
    std::vector<std::string> ids = std::move(writes);
    writes.clear();
    const bool committed = co_await commit(it, std::move(ids));
    if (!committed) {
        co_return it.starts == start ? fail("TIMEOUT") : false;
    }
    co_return succeed("", true);
}

}  // namespace review
