#include "rig/load/load_runner.h"

#include <signal.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <QPointer>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "rig/client/caller.h"

namespace balsamdrift::rig {
namespace {

using nlohmann::json;

constexpr milliseconds tick_interval(1);
constexpr milliseconds readiness_check_interval(200);
constexpr milliseconds resend_delay(50);
/// Time beyond the stated timeout for which a caller still waits for the answer.
constexpr milliseconds answer_timeout_margin(500);
constexpr int max_attempts = 40;
/// After the load has ended, requests may still finish for this long.
constexpr seconds max_drain_time(12);
constexpr seconds progress_interval(5);
constexpr std::size_t max_idle_connections = 200;

json parse(const std::string& text) { return json::parse(text, nullptr, false); }

std::string text_member(const json& body, const char* name)
{
    return body.is_object() && body.contains(name) && body[name].is_string()
               ? body[name].get<std::string>()
               : std::string();
}

}  // namespace

load_runner::load_runner(const experiment& plan, site& target, std::vector<std::string> keys)
    : plan_(plan), site_(target), keys_(std::move(keys)), random_(plan.seed)
{
    for (const load_customer& it : plan_.customers) {
        customer_state state;
        state.sessions.resize(static_cast<std::size_t>(it.sessions));
        for (std::size_t n = 0; n < state.sessions.size(); ++n) {
            state.sessions[n].group = n % plan_.site.groups.size();
        }
        customers_.push_back(std::move(state));
    }
    for (const std::string& it : site_.entry_names()) {
        auto point = parse_endpoint(site_.address_of(it, "callers"));
        entries_.push_back(value_of(point));
    }
    idle_connections_.resize(entries_.size());
    entry_ready_.assign(entries_.size(), true);
    timer_.setTimerType(Qt::PreciseTimer);
    connect(&timer_, &QTimer::timeout, this, &load_runner::on_tick);
}

duration load_runner::elapsed() const { return monotonic_clock::now() - started_at_; }

load_result load_runner::run()
{
    started_at_ = monotonic_clock::now();
    timer_.start(tick_interval);
    duration next_progress = progress_interval;
    while (elapsed() < plan_.length ||
           (active_request_count_ > 0 && elapsed() < plan_.length + max_drain_time)) {
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
        if (elapsed() >= next_progress) {
            std::fprintf(
                stderr, "  %s: %lld s, %zu requests answered, %zu under way\n", plan_.name.c_str(),
                static_cast<long long>(std::chrono::duration_cast<seconds>(elapsed()).count()),
                result_.records.size(), active_request_count_);
            next_progress += progress_interval;
        }
    }
    timer_.stop();
    audit(result_);
    return std::move(result_);
}

void load_runner::on_tick()
{
    const duration now = elapsed();
    inject_due_faults(now);
    if (now >= next_readiness_check_) {
        next_readiness_check_ = now + readiness_check_interval;
        check_readiness();
    }
    if (now < plan_.length) {
        start_arrivals(now);
    }
}

void load_runner::start_arrivals(duration now)
{
    for (std::size_t n = 0; n < customers_.size(); ++n) {
        const double load = plan_.customers[n].load;
        while (load > 0 && customers_[n].next_arrival <= now) {
            std::exponential_distribution<double> gap(load);
            start_request(n, customers_[n].next_arrival);
            customers_[n].next_arrival +=
                std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(random_)));
        }
    }
}

void load_runner::start_request(std::size_t customer, duration intended_start)
{
    auto& sessions = customers_[customer].sessions;
    std::size_t chosen = random_() % sessions.size();
    for (std::size_t n = 0; n < sessions.size() && sessions[chosen].busy; ++n) {
        chosen = (chosen + 1) % sessions.size();
    }
    if (sessions[chosen].busy) {
        sessions.push_back({.group = random_() % plan_.site.groups.size()});
        chosen = sessions.size() - 1;
    }
    session& sender = sessions[chosen];
    sender.busy = true;
    auto request = std::make_shared<active_request>();
    request->session = chosen;
    request->record.customer = customer;
    request->record.group = sender.group;
    request->record.intended_start = intended_start;
    request->record.session_wrote = sender.has_written;
    const int percentile = static_cast<int>(random_() % 100);
    const load_mix& mix = plan_.mix;
    request->record.kind = percentile < mix.read               ? request_kind::read
                           : percentile < mix.read + mix.write ? request_kind::write
                           : percentile < mix.read + mix.write + mix.once
                               ? request_kind::once
                               : request_kind::transaction;
    if (request->record.kind == request_kind::read) {
        request->expected_row = sender.last_written_row;
    }
    else {
        request->record.rows.push_back("r" + std::to_string(next_row_++));
    }
    ++active_request_count_;
    send(request);
}

std::size_t load_runner::pick_entry()
{
    std::size_t chosen = random_() % entries_.size();
    for (std::size_t n = 0; n < entries_.size() && !entry_ready_[chosen]; ++n) {
        chosen = (chosen + 1) % entries_.size();
    }
    return chosen;
}

std::string load_runner::format_request(const active_request& request) const
{
    const session& sender = customers_[request.record.customer].sessions[request.session];
    std::string path = "/v1/databases/" + plan_.site.groups[request.record.group];
    std::string body;
    std::string headers;
    const std::string insert = "INSERT INTO load_rows VALUES ($1)";
    switch (request.record.kind) {
        case request_kind::read:
            path += "/statements";
            body = json{{"sql", "SELECT id FROM load_rows WHERE id = $1"},
                        {"params", {request.expected_row}},
                        {"access", "read"}}
                       .dump();
            break;
        case request_kind::once:
            headers = "Idempotency-Key: " + request.record.rows[0] + "\r\n";
            [[fallthrough]];
        case request_kind::write:
            path += "/statements";
            body = json{{"sql", insert}, {"params", {request.record.rows[0]}}}.dump();
            break;
        case request_kind::transaction:
            path += "/transactions";
            if (request.step == 1) {
                path += "/" + request.transaction + "/statements";
                body = json{{"sql", insert}, {"params", {request.record.rows[0]}}}.dump();
            }
            else if (request.step == 2) {
                path += "/" + request.transaction + "/commit";
            }
            break;
    }
    const auto timeout = to_milliseconds(plan_.timeout).count();
    std::string text = "POST " + path + " HTTP/1.1\r\nHost: load\r\nAuthorization: Bearer " +
                       keys_[request.record.customer] +
                       "\r\nBalsamdrift-Timeout: " + std::to_string(timeout) + "ms\r\n" + headers;
    if (!sender.token.empty()) {
        text += "Balsamdrift-Session: " + sender.token + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void load_runner::send(const std::shared_ptr<active_request>& request)
{
    ++request->attempts;
    // Each request goes to any ready entry, so the steps of a transaction may use different ones.
    const std::size_t entry = pick_entry();
    request->record.entry = entry;
    std::unique_ptr<load_connection> connection;
    if (!idle_connections_[entry].empty()) {
        connection = std::move(idle_connections_[entry].back());
        idle_connections_[entry].pop_back();
    }
    if (!connection || !connection->is_usable()) {
        connection = std::make_unique<load_connection>(entries_[entry]);
    }
    load_connection* const raw = connection.release();
    request->connection = raw;
    QTimer::singleShot(to_milliseconds(plan_.timeout) + answer_timeout_margin, raw,
                       [request, raw, attempts = request->attempts] {
                           if (request->connection == raw && request->attempts == attempts) {
                               raw->abort();
                           }
                       });
    raw->send(format_request(*request), [this, request, raw, entry](const load_answer& answer) {
        request->connection = nullptr;
        if (raw->is_usable() && idle_connections_[entry].size() < max_idle_connections) {
            idle_connections_[entry].push_back(std::unique_ptr<load_connection>(raw));
        }
        else {
            raw->deleteLater();
        }
        on_answer(request, answer);
    });
}

/// Advances a transaction to its next step. False if the request is complete or has failed.
bool load_runner::advance_transaction(active_request& request, const load_answer& answer)
{
    if (answer.status != 200 || request.step == 2) {
        return false;
    }
    if (request.step == 0) {
        request.transaction = text_member(parse(answer.body), "transaction");
    }
    ++request.step;
    return true;
}

void load_runner::on_answer(const std::shared_ptr<active_request>& request,
                            const load_answer& answer)
{
    session& sender = customers_[request->record.customer].sessions[request->session];
    if (!answer.session.empty()) {
        sender.token = answer.session;
    }
    if (request->record.kind == request_kind::transaction &&
        advance_transaction(*request, answer)) {
        send(request);
        return;
    }
    const json body = parse(answer.body);
    request->record.status = answer.status;
    request->record.code = text_member(body, "code");
    request->record.outcome = text_member(body, "outcome");
    if (request->record.code == "sql_error") {
        request->record.code += " " + text_member(body, "detail");
    }
    const bool outcome_unknown = answer.status == 0 || request->record.outcome == "unknown";
    const bool entry_unavailable =
        request->record.code == "not_ready" || request->record.code == "stopping";
    const bool retryable =
        request->record.kind == request_kind::once || request->record.kind == request_kind::read;
    const bool within_retry_period = elapsed() - request->record.intended_start < plan_.timeout * 2;
    // As a client library would, retry what is safe to run again, and retry at another entry if
    // this one refuses requests.
    if (within_retry_period && request->attempts < max_attempts &&
        ((outcome_unknown && retryable) || entry_unavailable)) {
        QTimer::singleShot(resend_delay, this, [this, request] { send(request); });
        return;
    }
    if (request->record.kind == request_kind::transaction && answer.status != 200 &&
        request->step == 1) {
        roll_back(*request);
    }
    if (answer.status == 200) {
        if (request->record.kind == request_kind::read) {
            request->record.from_replica = body.value("replica", false);
            const bool found = !body["result"]["rows"].empty();
            request->record.stale = !request->expected_row.empty() && !found;
        }
        else {
            sender.last_written_row = request->record.rows[0];
            sender.has_written = true;
        }
    }
    finish(request);
}

/// Rolls back a transaction of which a statement failed, as a client library would.
void load_runner::roll_back(const active_request& request)
{
    const std::string path = "/v1/databases/" + plan_.site.groups[request.record.group] +
                             "/transactions/" + request.transaction + "/rollback";
    auto* connection = new load_connection(entries_[pick_entry()]);
    connection->send("POST " + path + " HTTP/1.1\r\nHost: load\r\nConnection: close\r\n" +
                         "Authorization: Bearer " + keys_[request.record.customer] +
                         "\r\nContent-Length: 0\r\n\r\n",
                     [connection](const load_answer&) { connection->deleteLater(); });
}

void load_runner::finish(const std::shared_ptr<active_request>& request)
{
    request->record.latency = elapsed() - request->record.intended_start;
    customers_[request->record.customer].sessions[request->session].busy = false;
    result_.records.push_back(std::move(request->record));
    --active_request_count_;
}

void load_runner::check_readiness()
{
    for (std::size_t n = 0; n < entries_.size(); ++n) {
        auto* check = new load_connection(entries_[n]);
        const QPointer<load_connection> guard(check);
        check->send("GET /readyz HTTP/1.1\r\nHost: balancer\r\nConnection: close\r\n\r\n",
                    [this, check, n](const load_answer& answer) {
                        entry_ready_[n] = answer.status == 200;
                        check->deleteLater();
                    });
        QTimer::singleShot(readiness_check_interval * 2, check, [guard] {
            if (guard) {
                guard->abort();
            }
        });
    }
}

std::string load_runner::resolve_target(const std::string& target)
{
    if (target != "leader" && target != "primary" && target != "owner") {
        return target;
    }
    const json status = site_.run_balsamctl({"status", "--timeout_s=3"}).body;
    if (target == "leader") {
        return status.value("leader", "");
    }
    for (const auto& it : status["groups"]) {
        if (it["group"] == plan_.site.groups.front()) {
            if (target == "primary") {
                return it.value("primary", "");
            }
            if (target == "owner") {
                return it.value("owner", "");
            }
        }
    }
    return target;
}

void load_runner::inject_fault(const scheduled_fault& fault)
{
    const std::string name = resolve_target(fault.target);
    result_.faults.push_back({elapsed(), fault.kind + " " + name});
    if (fault.kind == "kill") {
        site_.signal(name, SIGKILL);
    }
    else if (fault.kind == "freeze") {
        site_.signal(name, SIGSTOP);
    }
    else if (fault.kind == "thaw") {
        site_.signal(name, SIGCONT);
    }
    else if (fault.kind == "stop") {
        site_.signal(name, SIGTERM);
    }
    else if (fault.kind == "restart") {
        (void)site_.restart(name);
    }
    else {
        site_.send_fault_command(name, {.cut = fault.kind == "cut"});
    }
}

void load_runner::inject_due_faults(duration now)
{
    while (next_fault_ < plan_.faults.size() && plan_.faults[next_fault_].at <= now) {
        inject_fault(plan_.faults[next_fault_++]);
    }
}

void load_runner::audit(load_result& result)
{
    std::map<std::string, std::size_t> stored_counts;
    for (const std::string& group : plan_.site.groups) {
        caller reader(site_.address_of(site_.entry_names().at(pick_entry()), "callers"), keys_[0]);
        // A read of this session sees at least its own write, and so all earlier writes.
        caller_answer own_write;
        for (int n = 0; n < 50 && own_write.status != 200; ++n) {
            reader.set_address(site_.address_of(site_.entry_names().at(pick_entry()), "callers"));
            own_write = reader.statement(group, "DELETE FROM load_rows WHERE id = ''",
                                         json::array(), {.access = "idempotent"});
        }
        const auto rows = reader.read(group, "SELECT id, count(*) FROM load_rows GROUP BY id");
        if (rows.status != 200) {
            std::fprintf(stderr, "cannot read the rows of group %s for the audit\n", group.c_str());
            result.audit.lost += 1;
            continue;
        }
        for (const auto& row : rows.body["result"]["rows"]) {
            stored_counts[row[0].get<std::string>()] += row[1].get<std::size_t>();
        }
    }
    for (const load_record& it : result.records) {
        result.audit.stale_reads += it.stale ? 1 : 0;
        for (const std::string& row : it.rows) {
            const auto found = stored_counts.find(row);
            const std::size_t count = found == stored_counts.end() ? 0 : found->second;
            result.audit.acknowledged += it.status == 200 ? 1 : 0;
            result.audit.lost += it.status == 200 && count == 0 ? 1 : 0;
            result.audit.doubled += count > 1 ? 1 : 0;
            result.audit.misreported += it.outcome == "not_run" && count > 0 ? 1 : 0;
        }
    }
}

}  // namespace balsamdrift::rig
