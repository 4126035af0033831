#include <algorithm>

#include "rig/soak/service.h"

namespace balsamdrift::soak {

namespace {

/// A new connection occupies a slot for so long.
constexpr milliseconds connection_work(12);
/// Ending a transaction takes less than a statement.
constexpr int commit_work_divisor = 3;

std::pair<std::uint64_t, std::uint64_t> read_position(const std::string& text)
{
    const auto dot = text.find('.');
    return {std::strtoull(text.c_str(), nullptr, 10),
            dot == std::string::npos ? 0 : std::strtoull(text.c_str() + dot + 1, nullptr, 10)};
}

}  // namespace

background service::serve(instance& it, std::unique_ptr<connection> conn)
{
    const int start = it.starts;
    it.connections.insert(conn.get());
    instance_session s;
    while (true) {
        std::optional<std::string> line = co_await conn->line(time_point::max());
        if (!line || it.starts != start) {
            break;
        }
        std::string text = std::move(*line);
        const bool goes_on = co_await process(it, s, *conn, text);
        if (!goes_on || it.starts != start) {
            break;
        }
    }
    it.connections.erase(conn.get());
}

std::string service::position(const instance& it) const
{
    return std::to_string(it.term) + "." + std::to_string(it.log.size());
}

std::string service::receipt(const std::string& id)
{
    std::string out = "c." + name_ + "." + std::to_string(++receipts_);
    verdicts_.gave_receipt(id, out);
    return out;
}

bool service::reply(const instance& it, const instance_session& s, connection& conn,
                    const std::string& text) const
{
    conn.send(text + "READY " + s.state + " " + position(it) + "\r\n");
    return true;
}

bool service::fail(const instance& it, instance_session& s, connection& conn,
                   const std::string& code) const
{
    s.state = s.state == 'T' ? 'E' : s.state;
    return reply(it, s, conn, "ERROR " + code + " " + it.id + "\r\n");
}

task<bool> service::process(instance& it, instance_session& s, connection& conn, std::string line)
{
    const std::string kind = take_word(line);
    if (kind == "STARTUP") {
        const bool goes_on = co_await process_startup(it, s, conn, line);
        co_return goes_on;
    }
    if (kind != "QUERY" || !s.started) {
        co_return false;
    }
    const std::string id = take_word(line);
    std::string verb = take_word(line);
    if (verb == "AFTER") {
        const auto after = read_position(take_word(line));
        verb = take_word(line);
        if (std::pair(it.term, std::uint64_t{it.log.size()}) < after) {
            co_return fail(it, s, conn, "LAGGING");
        }
    }
    if (verb == "STATUS") {
        const bool runs = co_await occupy_slot(it, milliseconds(1));
        if (!runs) {
            co_return fail(it, s, conn, "BUSY");
        }
    }
    if (verb == "READ" || verb == "WRITE" || verb == "EXECUTE" || verb == "BEGIN" ||
        verb == "COMMIT" || verb == "ROLLBACK") {
        const bool goes_on = co_await process_statement(it, s, conn, id, verb, line);
        co_return goes_on;
    }
    co_return process_command(it, s, conn, verb, line);
}

task<bool> service::process_startup(instance& it, instance_session& s, connection& conn,
                                    std::string line)
{
    const std::string wanted = take_word(line);
    s.tenant = take_word(line);
    const std::string expected = take_word(line);
    if (wanted != name_ || (!expected.empty() && expected != it.id)) {
        conn.send("ERROR MISROUTED " + it.id + "\r\n");
        co_return false;
    }
    if (it.connections.size() > static_cast<std::size_t>(site_.connections)) {
        conn.send("ERROR TOOMANY " + it.id + "\r\n");
        co_return false;
    }
    const bool runs = co_await occupy_slot(it, connection_work);
    if (!runs) {
        conn.send("ERROR BUSY " + it.id + "\r\n");
        co_return false;
    }
    s.started = true;
    co_return reply(it, s, conn, "");
}

bool service::process_command(instance& it, instance_session& s, connection& conn,
                              const std::string& verb, std::string line)
{
    if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "STEPDOWN") {
        const std::uint64_t term = std::strtoull(line.c_str(), nullptr, 10);
        const instance* newest = primary();
        if (verb == "PAUSE" && !it.primary && (newest == nullptr || term > newest->term)) {
            it.paused_term = term;
        }
        if (verb == "RESUME") {
            it.paused_term = 0;
        }
        if (verb == "STEPDOWN" && it.primary && it.term < term) {
            it.primary = false;
            it.beat_now->notify();
        }
        return reply(it, s, conn,
                     std::string("ROW ") + (it.primary ? "primary" : "replica") + " " +
                         std::to_string(it.term) + " " + position(it) + " " +
                         std::to_string(it.paused_term) + " 0 " + std::to_string(it.running) + " " +
                         std::to_string(it.connections.size()) + "\r\nCOMPLETE -\r\n");
    }
    if (verb == "PREPARE") {
        const std::string prepared = take_word(line);
        const std::string kind = take_word(line);
        if ((kind != "READ" && kind != "WRITE") || line.empty()) {
            return fail(it, s, conn, "MALFORMED");
        }
        s.prepared[prepared] = kind + " " + line;
    }
    else if (verb == "DEALLOCATE") {
        s.prepared.erase(line);
    }
    else if (verb == "DISCARD") {
        s.prepared.clear();
    }
    else if (verb != "SET") {
        return fail(it, s, conn, "MALFORMED");
    }
    return reply(it, s, conn, "COMPLETE -\r\n");
}

bool service::process_begin(instance& it, instance_session& s, connection& conn, bool read_only)
{
    if (!read_only && !it.primary) {
        return fail(it, s, conn, "READONLY");
    }
    s.state = 'T';
    s.read_only = read_only;
    s.term = it.term;
    s.writes.clear();
    s.write_ids.clear();
    return reply(it, s, conn, "COMPLETE -\r\n");
}

task<bool> service::process_statement(instance& it, instance_session& s, connection& conn,
                                      std::string id, std::string verb, std::string line)
{
    const int start = it.starts;
    const bool ends = verb == "COMMIT" || verb == "ROLLBACK";
    if (s.state == 'E') {
        if (!ends) {
            co_return fail(it, s, conn, "MALFORMED");
        }
        s.state = 'I';
        co_return reply(it, s, conn,
                        verb == "COMMIT" ? "ERROR ABORTED " + it.id + "\r\n" : "COMPLETE -\r\n");
    }
    const bool lost_lead = s.state == 'T' && !s.read_only && (!it.primary || it.term != s.term) &&
                           !(verb == "COMMIT" && s.writes.empty()) && verb != "ROLLBACK";
    if (lost_lead) {
        co_return fail(it, s, conn, "READONLY");
    }
    if (verb == "BEGIN") {
        co_return process_begin(it, s, conn, line == "READ");
    }
    if (verb == "ROLLBACK") {
        s.state = 'I';
        s.writes.clear();
        co_return reply(it, s, conn, "COMPLETE " + receipt(id) + "\r\n");
    }
    const duration work = draw_work(it) / (ends ? commit_work_divisor : 1);
    const bool runs = co_await occupy_slot(it, work);
    if (!runs) {
        co_return reply(it, s, conn, "ERROR BUSY " + it.id + "\r\n");
    }
    if (it.starts != start) {
        co_return false;
    }
    if (verb == "COMMIT") {
        s.state = 'I';
        if (!s.writes.empty() && (!it.primary || it.term != s.term)) {
            s.writes.clear();
            co_return reply(it, s, conn, "ERROR READONLY " + it.id + "\r\n");
        }
        commit(it, s, id);
        co_return reply(it, s, conn, "COMPLETE " + receipt(id) + "\r\n");
    }
    std::string shape;
    bool writes = verb == "WRITE";
    if (verb == "EXECUTE") {
        const auto found = s.prepared.find(take_word(line));
        if (found == s.prepared.end()) {
            co_return fail(it, s, conn, "NOSTMT");
        }
        shape = found->second;
        writes = shape.starts_with("WRITE ");
    }
    if (writes && !it.primary) {
        co_return fail(it, s, conn, "READONLY");
    }
    verdicts_.ran(id, it.id, name_, s.tenant, shape, shape.empty() ? verb + " " + line : line);
    const std::string item = take_word(line);
    if (writes) {
        s.writes.emplace_back(item, line);
        s.write_ids.push_back(id);
        if (s.state == 'I') {
            commit(it, s, id);
        }
        co_return reply(it, s, conn, "COMPLETE " + receipt(id) + "\r\n");
    }
    const auto value = it.items.find(item);
    const std::string row = value == it.items.end() ? "-" : value->second;
    co_return reply(it, s, conn, "ROW " + row + "\r\nCOMPLETE " + receipt(id) + "\r\n");
}

void service::commit(instance& it, instance_session& s, const std::string& id)
{
    if (s.writes.empty()) {
        return;
    }
    for (const std::string& write : s.write_ids) {
        verdicts_.committed(write, it.id);
    }
    for (const auto& [item, data] : s.writes) {
        it.items[item] = data;
    }
    it.log.push_back({.term = it.term, .id = id, .writes = std::move(s.writes)});
    s.writes.clear();
    s.write_ids.clear();
    for (const auto& other : instances_) {
        if (other.get() != &it) {
            const int start = other->starts;
            loop_.at(monotonic_clock::now() + site_.replica_lag, [this, &it, &to = *other, start] {
                if (to.starts == start && !to.down && !to.primary && primary() == &it &&
                    to.paused_term <= it.term) {
                    follow(it, to);
                }
            });
        }
    }
}

}  // namespace balsamdrift::soak
