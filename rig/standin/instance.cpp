#include "rig/standin/instance.h"

#include <QNetworkReply>
#include <QNetworkRequest>
#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/codec.h"

namespace balsamdrift::rig {
namespace {

constexpr std::uint64_t first_lsn = 0x1000000;
constexpr std::uint64_t lsn_step = 0x10;
constexpr milliseconds heartbeat_interval(20);
constexpr milliseconds apply_interval(1);
constexpr std::size_t max_transactions_per_message = 500;

/// Signs replication messages. All stand-ins share it; it protects nothing.
constexpr const char* replication_secret = "stand-in replication";

/// Calls `fn` after the delay on the owner's thread, or at once if the delay is not positive.
/// `fn` is not called if the owner is destroyed before.
void run_after(duration delay, QObject* owner, std::function<void()> fn)
{
    if (delay <= duration{0}) {
        fn();
        return;
    }
    QTimer::singleShot(to_milliseconds(delay), Qt::PreciseTimer, owner, std::move(fn));
}

}  // namespace

instance::instance(instance_options options)
    : options_(std::move(options)),
      primary_(options_.starts_as_primary),
      received_lsn_(first_lsn),
      applied_lsn_(first_lsn),
      replication_node_(
          {.listen = options_.replication, .advertised = "", .secret = replication_secret})
{
    reset_data();
    if (!options_.run_log.empty()) {
        run_log_.open(options_.run_log, std::ios::app);
    }
}

instance::~instance() { replication_node_.stop(); }

outcome<endpoint> instance::start(const endpoint& sql_address)
{
    sql_address_ = to_string(sql_address);
    auto started = replication_node_.start([this](fleet_message message) {
        QMetaObject::invokeMethod(
            this, [this, message = std::move(message)] { on_message(message); },
            Qt::QueuedConnection);
    });
    connect(&heartbeat_timer_, &QTimer::timeout, this, [this] {
        if (primary_ && !cut_) {
            for (const std::string& it : options_.replication_peers) {
                ship(received_lsn_, it);
            }
        }
    });
    connect(&apply_timer_, &QTimer::timeout, this, &instance::apply_due_transactions);
    connect(&announce_timer_, &QTimer::timeout, this, &instance::announce);
    apply_timer_.setTimerType(Qt::PreciseTimer);
    apply_timer_.start(apply_interval);
    heartbeat_timer_.start(heartbeat_interval);
    announce_timer_.start(to_milliseconds(options_.announce_interval));
    announce();
    return started;
}

void instance::reset_data()
{
    ++reset_count_;
    const std::string name = options_.name + "-" + std::to_string(reset_count_);
    committed_ = std::make_unique<sql_database>(name + "-committed");
    working_ = std::make_unique<sql_database>(name + "-working");
    history_.clear();
    unapplied_.clear();
    received_lsn_ = first_lsn;
    applied_lsn_ = first_lsn;
}

void instance::commit(std::vector<replayed_statement> statements)
{
    received_lsn_ += lsn_step;
    applied_lsn_ = received_lsn_;
    committed_->replay(statements);
    history_.push_back({received_lsn_, std::move(statements)});
    append_to_run_log(history_.back());
    const std::uint64_t before = received_lsn_ - lsn_step;
    run_after(options_.ship_delay, this, [this, before] {
        if (!primary_ || cut_ || history_.empty()) {
            return;
        }
        for (const std::string& it : options_.replication_peers) {
            ship(before, it);
        }
    });
}

void instance::append_to_run_log(const committed_transaction& transaction)
{
    if (!run_log_.is_open()) {
        return;
    }
    for (const replayed_statement& statement : transaction.statements) {
        nlohmann::json row{{"instance", options_.name},
                           {"term", term_},
                           {"lsn", transaction.lsn},
                           {"sql", statement.sql},
                           {"params", nlohmann::json::array()}};
        for (const auto& param : statement.params) {
            row["params"].push_back(param ? nlohmann::json(*param) : nlohmann::json());
        }
        run_log_ << row.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
    }
    run_log_.flush();
}

void instance::ship(std::uint64_t after_lsn, const std::string& address)
{
    replication_stream stream{.primary = options_.name,
                              .term = term_,
                              .term_start = term_start_,
                              .previous_lsn = after_lsn,
                              .transactions = {}};
    auto it = std::upper_bound(
        history_.begin(), history_.end(), after_lsn,
        [](std::uint64_t lsn, const committed_transaction& t) { return lsn < t.lsn; });
    while (it != history_.end() && stream.transactions.size() < max_transactions_per_message) {
        stream.transactions.push_back(*it++);
    }
    replication_node_.send(address, fleet_channel::work,
                           encode_variant(replication_message(stream)));
}

void instance::on_message(const fleet_message& message)
{
    auto decoded = decode_variant<replication_message>(message.body);
    if (!succeeded(decoded)) {
        return;
    }
    const bool is_fault_command = std::holds_alternative<fault_command>(value_of(decoded));
    if (cut_ && !is_fault_command) {
        return;
    }
    std::visit([&](const auto& it) { handle(it, message.sender); }, value_of(decoded));
}

void instance::handle(const replication_stream& stream, const std::string& sender)
{
    if (stream.term < term_ || stream.primary == options_.name) {
        return;
    }
    if (primary_ && stream.term > term_) {
        // A replaced primary becomes a replica of its successor only after a delay, as if an
        // operator had set it up again.
        if (!rejoining_) {
            rejoining_ = true;
            run_after(options_.rejoin_delay, this, [this, stream] { follow_primary(stream); });
        }
        return;
    }
    if (stream.term > term_) {
        follow_primary(stream);
    }
    if (stream.previous_lsn > received_lsn_) {
        replication_node_.send(
            sender, fleet_channel::work,
            encode_variant(replication_message(replication_request{received_lsn_})));
        return;
    }
    const time_point apply_at = monotonic_clock::now() + options_.apply_lag;
    for (const committed_transaction& transaction : stream.transactions) {
        if (transaction.lsn == received_lsn_ + lsn_step) {
            received_lsn_ = transaction.lsn;
            history_.push_back(transaction);
            unapplied_.push_back({apply_at, transaction});
        }
    }
}

void instance::follow_primary(const replication_stream& stream)
{
    rejoining_ = false;
    if (stream.term <= term_) {
        return;
    }
    const bool diverged = primary_ || received_lsn_ > stream.term_start;
    primary_ = false;
    term_ = stream.term;
    term_start_ = stream.term_start;
    if (diverged) {
        if (on_sessions_invalidated) {
            on_sessions_invalidated();
        }
        reset_data();
    }
}

void instance::handle(const replication_request& request, const std::string& sender)
{
    if (primary_) {
        ship(request.after_lsn, sender);
    }
}

void instance::handle(const fault_command& command, const std::string&)
{
    leaving_ = command.leaving;
    if (command.service_ms >= 0) {
        options_.service_time = milliseconds(command.service_ms);
    }
    cut_ = command.cut;
    announce();
}

void instance::apply_due_transactions()
{
    const time_point now = monotonic_clock::now();
    while (!unapplied_.empty() && unapplied_.front().apply_at <= now) {
        committed_->replay(unapplied_.front().transaction.statements);
        working_->replay(unapplied_.front().transaction.statements);
        applied_lsn_ = unapplied_.front().transaction.lsn;
        unapplied_.pop_front();
    }
}

void instance::promote()
{
    if (primary_) {
        return;
    }
    for (unapplied_transaction& it : unapplied_) {
        it.apply_at = time_point{};
    }
    apply_due_transactions();
    primary_ = true;
    ++term_;
    term_start_ = received_lsn_;
}

void instance::run_in_slot(std::function<void()> on_done)
{
    if (busy_slots_ >= options_.slots) {
        slot_waiters_.push_back(std::move(on_done));
        return;
    }
    ++busy_slots_;
    run_after(options_.service_time, this, [this, on_done = std::move(on_done)] {
        on_done();
        release_slot();
    });
}

void instance::release_slot()
{
    --busy_slots_;
    if (!slot_waiters_.empty()) {
        auto next = std::move(slot_waiters_.front());
        slot_waiters_.pop_front();
        run_in_slot(std::move(next));
    }
}

void instance::announce()
{
    if (cut_ || options_.announce_to.empty()) {
        return;
    }
    const nlohmann::json body{{"group", options_.group},
                              {"instance", options_.name},
                              {"address", sql_address_},
                              {"failure_domain", options_.failure_domain},
                              {"leaving", leaving_}};
    const std::string entry = options_.announce_to[next_entry_++ % options_.announce_to.size()];
    QNetworkRequest request(QUrl(QString::fromStdString("http://" + entry + "/v1/announcements")));
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    request.setTransferTimeout(
        static_cast<int>(to_milliseconds(options_.announce_interval).count()));
    QNetworkReply* reply = http_.post(request, QByteArray::fromStdString(body.dump()));
    connect(reply, &QNetworkReply::finished, reply, &QObject::deleteLater);
}

}  // namespace balsamdrift::rig
