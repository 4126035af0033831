#include "databases/pg_connection.h"

#include "base/invariant.h"

namespace balsamdrift {
namespace {

/// SQLSTATE internal_error, for errors that libpq reports without one.
constexpr const char* unknown_sqlstate = "XX000";

std::string trimmed(std::string text)
{
    while (!text.empty() && (text.back() == '\n' || text.back() == ' ')) {
        text.pop_back();
    }
    return text;
}

/// Queues one statement and a pipeline sync after it, which separates it from the next one.
bool send_statement(PGconn* handle, const sql_statement& statement)
{
    std::vector<const char*> values;
    values.reserve(statement.params.size());
    for (const auto& param : statement.params) {
        values.push_back(param ? param->c_str() : nullptr);
    }
    const bool queued =
        PQsendQueryParams(handle, statement.sql.c_str(), static_cast<int>(values.size()), nullptr,
                          values.data(), nullptr, nullptr, 0) == 1;
    return queued && PQpipelineSync(handle) == 1;
}

}  // namespace

pg_connection::pg_connection(pg_connection_options options, QObject* parent)
    : QObject(parent), options_(std::move(options))
{
}

pg_connection::~pg_connection()
{
    unwatch();
    if (handle_ != nullptr) {
        PQfinish(handle_);
    }
}

void pg_connection::open(connect_handler on_connected, std::function<void()> on_closed)
{
    on_connected_ = std::move(on_connected);
    on_closed_ = std::move(on_closed);
    const std::string port = std::to_string(options_.address.port);
    const char* read_only = options_.read_only ? "-c default_transaction_read_only=on" : "";
    const std::vector<const char*> names{"hostaddr", "port",    "user",       "dbname",
                                         "sslmode",  "options", "gssencmode", nullptr};
    const std::vector<const char*> values{options_.address.address.c_str(),
                                          port.c_str(),
                                          options_.user.c_str(),
                                          options_.database.c_str(),
                                          "prefer",
                                          read_only,
                                          "disable",
                                          nullptr};
    handle_ = PQconnectStartParams(names.data(), values.data(), 0);
    if (handle_ == nullptr || PQstatus(handle_) == CONNECTION_BAD) {
        const std::string message = handle_ != nullptr ? PQerrorMessage(handle_) : "out of memory";
        QMetaObject::invokeMethod(
            this, [this, message] { handle_connection_loss(message); }, Qt::QueuedConnection);
        return;
    }
    watch(false, true);
}

/// Watches the current socket. libpq may replace the socket while it connects.
void pg_connection::watch(bool read, bool write)
{
    const int fd = PQsocket(handle_);
    if (!readable_ || readable_->socket() != fd) {
        unwatch();
        readable_ = std::make_unique<QSocketNotifier>(fd, QSocketNotifier::Read);
        writable_ = std::make_unique<QSocketNotifier>(fd, QSocketNotifier::Write);
        connect(readable_.get(), &QSocketNotifier::activated, this, &pg_connection::on_readable);
        connect(writable_.get(), &QSocketNotifier::activated, this, &pg_connection::on_writable);
    }
    readable_->setEnabled(read);
    writable_->setEnabled(write);
}

/// Stops watching the socket. This may be called from within a notifier's signal, so the notifiers
/// are deleted from the event loop.
void pg_connection::unwatch()
{
    for (auto* it : {&readable_, &writable_}) {
        if (*it) {
            (*it)->setEnabled(false);
            it->release()->deleteLater();
        }
    }
}

void pg_connection::poll_connecting()
{
    switch (PQconnectPoll(handle_)) {
        case PGRES_POLLING_READING: watch(true, false); return;
        case PGRES_POLLING_WRITING: watch(false, true); return;
        case PGRES_POLLING_OK: break;
        default: handle_connection_loss(PQerrorMessage(handle_)); return;
    }
    if (PQsetnonblocking(handle_, 1) != 0 || PQenterPipelineMode(handle_) != 1) {
        handle_connection_loss("the connection cannot be set up");
        return;
    }
    open_ = true;
    watch(true, false);
    std::exchange(on_connected_, nullptr)(true, "");
}

void pg_connection::run(const std::vector<sql_statement>& batch, batch_handler on_done)
{
    BALSAMDRIFT_INVARIANT(open_ && !on_done_ && !batch.empty());
    on_done_ = std::move(on_done);
    results_.clear();
    unfinished_statements_ = batch.size();
    for (const sql_statement& it : batch) {
        if (!send_statement(handle_, it)) {
            handle_connection_loss(PQerrorMessage(handle_));
            return;
        }
    }
    on_writable();
}

void pg_connection::on_writable()
{
    if (!open_) {
        poll_connecting();
        return;
    }
    const int unsent = PQflush(handle_);
    if (unsent < 0) {
        handle_connection_loss(PQerrorMessage(handle_));
        return;
    }
    watch(true, unsent == 1);
}

void pg_connection::on_readable()
{
    if (!open_) {
        poll_connecting();
        return;
    }
    if (PQconsumeInput(handle_) != 1) {
        handle_connection_loss(PQerrorMessage(handle_));
        return;
    }
    if (writable_->isEnabled()) {
        on_writable();
    }
    if (handle_ != nullptr) {
        read_results();
    }
}

void pg_connection::store_result(PGresult* result)
{
    query_result stored{.rows = {result, PQclear}};
    const ExecStatusType status = PQresultStatus(result);
    if (status != PGRES_TUPLES_OK && status != PGRES_COMMAND_OK) {
        const char* sqlstate = PQresultErrorField(result, PG_DIAG_SQLSTATE);
        const char* message = PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY);
        stored.sqlstate = sqlstate != nullptr ? sqlstate : unknown_sqlstate;
        stored.message = message != nullptr ? message : trimmed(PQresultErrorMessage(result));
    }
    results_.push_back(std::move(stored));
}

void pg_connection::read_results()
{
    while (unfinished_statements_ > 0 && PQisBusy(handle_) == 0) {
        PGresult* result = PQgetResult(handle_);
        if (result == nullptr) {
            // End of the results of one statement, unless the connection is lost.
            if (PQstatus(handle_) == CONNECTION_BAD) {
                handle_connection_loss(PQerrorMessage(handle_));
                return;
            }
            continue;
        }
        if (PQresultStatus(result) == PGRES_PIPELINE_SYNC) {
            PQclear(result);
            --unfinished_statements_;
            continue;
        }
        store_result(result);
    }
    if (PQstatus(handle_) == CONNECTION_BAD) {
        handle_connection_loss(PQerrorMessage(handle_));
    }
    else if (unfinished_statements_ == 0 && on_done_) {
        finish_batch();
    }
}

void pg_connection::finish_batch() { std::exchange(on_done_, nullptr)(std::move(results_)); }

void pg_connection::handle_connection_loss(const std::string& message)
{
    open_ = false;
    unwatch();
    if (on_connected_) {
        std::exchange(on_connected_, nullptr)(false, trimmed(message));
    }
    else if (on_done_) {
        std::exchange(on_done_, nullptr)(connection_lost{true, trimmed(message)});
    }
    else if (on_closed_) {
        std::exchange(on_closed_, nullptr)();
    }
}

void pg_connection::drop_handlers()
{
    open_ = false;
    on_connected_ = nullptr;
    on_closed_ = nullptr;
    on_done_ = nullptr;
    unwatch();
}

transaction_status pg_connection::transaction() const
{
    switch (PQtransactionStatus(handle_)) {
        case PQTRANS_IDLE: return transaction_status::idle;
        case PQTRANS_INTRANS: return transaction_status::open;
        case PQTRANS_INERROR: return transaction_status::failed;
        default: return transaction_status::unknown;
    }
}

}  // namespace balsamdrift
