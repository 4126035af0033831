#include "rig/standin/pg_session.h"

#include <QPointer>
#include <QTimer>
#include <QtEndian>
#include <algorithm>

#include "databases/system_queries.h"

namespace balsamdrift::rig {
namespace {

constexpr quint32 ssl_request_code = 80877103;
constexpr quint32 gss_request_code = 80877104;
constexpr qsizetype length_bytes = 4;
constexpr qsizetype startup_header_bytes = 8;
constexpr unsigned type_text = 25;
constexpr unsigned type_bool = 16;
constexpr unsigned type_int8 = 20;
constexpr const char* read_only_sqlstate = "25006";
/// A statement that meets a lock of another session is retried at this interval, up to the timeout.
constexpr milliseconds busy_retry_interval(1);
constexpr seconds busy_timeout(2);

void put32(QByteArray& out, quint32 value)
{
    const quint32 wire = qToBigEndian(value);
    out.append(reinterpret_cast<const char*>(&wire), sizeof wire);
}

void put16(QByteArray& out, quint16 value)
{
    const quint16 wire = qToBigEndian(value);
    out.append(reinterpret_cast<const char*>(&wire), sizeof wire);
}

void put_c_string(QByteArray& out, const std::string& text)
{
    out.append(text.data(), static_cast<qsizetype>(text.size()));
    out.append('\0');
}

/// Reads the fields of a message body in order.
class body_reader {
public:
    explicit body_reader(const QByteArray& body) : body_(body) {}

    std::string text()
    {
        const auto end = body_.indexOf('\0', offset_);
        std::string value = body_.mid(offset_, end - offset_).toStdString();
        offset_ = end < 0 ? body_.size() : end + 1;
        return value;
    }
    quint16 u16()
    {
        const quint16 value = offset_ + 2 <= body_.size()
                                  ? qFromBigEndian<quint16>(body_.constData() + offset_)
                                  : quint16{0};
        offset_ += 2;
        return value;
    }
    qint32 i32()
    {
        const qint32 value =
            offset_ + 4 <= body_.size() ? qFromBigEndian<qint32>(body_.constData() + offset_) : -1;
        offset_ += 4;
        return value;
    }
    std::string bytes(qint32 n)
    {
        std::string value = body_.mid(offset_, n).toStdString();
        offset_ += n;
        return value;
    }

private:
    const QByteArray& body_;
    qsizetype offset_ = 0;
};

/// Reads the parameters of a Bind message, all of which are taken as text.
std::vector<std::optional<std::string>> read_bind(const QByteArray& body)
{
    body_reader in(body);
    (void)in.text();
    (void)in.text();
    for (quint16 formats = in.u16(); formats > 0; --formats) {
        (void)in.u16();
    }
    std::vector<std::optional<std::string>> params;
    for (quint16 count = in.u16(); count > 0; --count) {
        const qint32 n = in.i32();
        if (n < 0) {
            params.emplace_back();
        }
        else {
            params.emplace_back(in.bytes(n));
        }
    }
    return params;
}

/// The statement in upper case without trailing semicolons and spaces. Used to recognise the
/// statements that are not passed on to SQLite.
std::string normalize(const std::string& sql)
{
    std::string normalized_sql;
    for (const char c : sql) {
        normalized_sql.push_back(static_cast<char>(std::toupper(static_cast<unsigned char>(c))));
    }
    while (!normalized_sql.empty() &&
           (normalized_sql.back() == ';' || normalized_sql.back() == ' ')) {
        normalized_sql.pop_back();
    }
    return normalized_sql;
}

engine_result tag_result(const std::string& tag)
{
    engine_result res;
    res.tag = tag;
    return res;
}

engine_result error_result(const std::string& sqlstate, const std::string& message)
{
    engine_result res;
    res.sqlstate = sqlstate;
    res.message = message;
    return res;
}

}  // namespace

pg_session::pg_session(QTcpSocket* socket, instance& owner, QObject* parent)
    : QObject(parent), instance_(owner), socket_(socket)
{
    socket_->setParent(this);
    socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    connect(socket_, &QTcpSocket::readyRead, this, &pg_session::read_available);
    connect(socket_, &QTcpSocket::disconnected, this, &QObject::deleteLater);
}

pg_session::~pg_session() { reset_session(); }

void pg_session::reset_session()
{
    // Closing a session rolls back its open transaction.
    sqlite3_close_v2(working_session_);
    sqlite3_close_v2(committed_session_);
    working_session_ = nullptr;
    committed_session_ = nullptr;
    uncommitted_changes_.clear();
    transaction_status_ = 'I';
}

void pg_session::read_available()
{
    if (instance_.is_cut()) {
        return;
    }
    input_.append(socket_->readAll());
    while (startup_received_ ? read_message() : read_startup()) {
    }
}

bool pg_session::read_startup()
{
    if (input_.size() < startup_header_bytes) {
        return false;
    }
    const auto length = qFromBigEndian<quint32>(input_.constData());
    if (static_cast<quint32>(input_.size()) < length) {
        return false;
    }
    const auto code = qFromBigEndian<quint32>(input_.constData() + length_bytes);
    const QByteArray body = input_.mid(startup_header_bytes, length - startup_header_bytes);
    input_.remove(0, length);
    if (code == ssl_request_code || code == gss_request_code) {
        socket_->write("N");
        return true;
    }
    read_only_ = body.contains("default_transaction_read_only=on");
    startup_received_ = true;
    QTimer::singleShot(to_milliseconds(instance_.options().connect_time), Qt::PreciseTimer, this,
                       &pg_session::finish_connect);
    return false;
}

void pg_session::finish_connect()
{
    const auto sessions = parent()->children().size();
    if (sessions > instance_.options().connection_limit) {
        send_error("53300", "sorry, too many clients already", true);
        socket_->disconnectFromHost();
        return;
    }
    QByteArray ok;
    put32(ok, 0);
    send('R', ok);
    for (const auto& [name, value] :
         std::vector<std::pair<std::string, std::string>>{{"server_version", "15.0"},
                                                          {"client_encoding", "UTF8"},
                                                          {"standard_conforming_strings", "on"}}) {
        QByteArray status;
        put_c_string(status, name);
        put_c_string(status, value);
        send('S', status);
    }
    QByteArray key;
    put32(key, 1);
    put32(key, 1);
    send('K', key);
    send_ready();
    read_available();
}

bool pg_session::read_message()
{
    if (input_.size() < length_bytes + 1) {
        return false;
    }
    const auto length = qFromBigEndian<quint32>(input_.constData() + 1);
    if (static_cast<quint32>(input_.size()) < length + 1) {
        return false;
    }
    const char type = input_.at(0);
    const QByteArray body = input_.mid(1 + length_bytes, length - length_bytes);
    input_.remove(0, length + 1);
    handle_message(type, body);
    return true;
}

void pg_session::handle_message(char type, const QByteArray& body)
{
    switch (type) {
        case 'P': {
            body_reader in(body);
            (void)in.text();
            incoming_.sql = in.text();
            incoming_.empty = false;
            return;
        }
        case 'B': incoming_.params = read_bind(body); return;
        case 'S':
            requests_.push_back(std::move(incoming_));
            incoming_ = {};
            start_next();
            return;
        case 'Q':
            requests_.push_back(
                {.sql = body_reader(body).text(), .params = {}, .simple = true, .empty = false});
            start_next();
            return;
        case 'X': socket_->disconnectFromHost(); return;
        default: return;
    }
}

void pg_session::start_next()
{
    if (running_ || requests_.empty()) {
        return;
    }
    running_ = true;
    started_at_ = monotonic_clock::now();
    const std::string& sql = requests_.front().sql;
    const bool needs_no_slot =
        requests_.front().empty || sql == probe_query || sql == reset_query || sql == promote_query;
    if (needs_no_slot) {
        run_request();
        return;
    }
    const QPointer<pg_session> self(this);
    instance_.run_in_slot([self] {
        if (self) {
            self->run_request();
        }
    });
}

void pg_session::run_request()
{
    if (instance_.is_cut()) {
        // An instance that is cut off sends no answers. The request stays unfinished.
        return;
    }
    const engine_result res = execute(requests_.front());
    if (res.busy && monotonic_clock::now() - started_at_ < busy_timeout) {
        QTimer::singleShot(busy_retry_interval, Qt::PreciseTimer, this, &pg_session::run_request);
        return;
    }
    finish_request(res);
}

void pg_session::finish_request(const engine_result& res)
{
    send_result(res);
    requests_.pop_front();
    running_ = false;
    start_next();
}

engine_result pg_session::answer_system_query(const std::string& sql)
{
    if (sql == promote_query) {
        instance_.promote();
        return {.columns = {{"pg_promote", type_bool}}, .rows = {{cell("t")}}, .tag = "SELECT 1"};
    }
    return {.columns = {{"in_recovery", type_bool},
                        {"received", type_text},
                        {"applied", type_text},
                        {"term", type_int8}},
            .rows = {{cell(instance_.is_primary() ? "f" : "t"),
                      cell(format_lsn(instance_.received_lsn())),
                      cell(format_lsn(instance_.applied_lsn())),
                      cell(std::to_string(instance_.term()))}},
            .tag = "SELECT 1"};
}

engine_result pg_session::execute_transaction_control(const std::string& normalized_sql)
{
    if (normalized_sql.starts_with("BEGIN") || normalized_sql.starts_with("START TRANSACTION")) {
        if (transaction_status_ != 'I') {
            return tag_result("BEGIN");
        }
        const bool writes = !read_only_ && instance_.is_primary();
        engine_result res =
            run_statement(working_session_, writes ? "BEGIN IMMEDIATE" : "BEGIN", {}, false);
        if (res.sqlstate.empty()) {
            transaction_status_ = 'T';
            res.tag = "BEGIN";
        }
        return res;
    }
    const bool commits = normalized_sql.starts_with("COMMIT") && transaction_status_ == 'T';
    if (transaction_status_ == 'I') {
        return tag_result(normalized_sql.starts_with("COMMIT") ? "COMMIT" : "ROLLBACK");
    }
    engine_result res = run_statement(working_session_, commits ? "COMMIT" : "ROLLBACK", {}, false);
    if (res.busy) {
        return res;
    }
    transaction_status_ = 'I';
    if (commits && !uncommitted_changes_.empty()) {
        instance_.commit(std::exchange(uncommitted_changes_, {}));
    }
    uncommitted_changes_.clear();
    res.tag = commits ? "COMMIT" : "ROLLBACK";
    return res;
}

engine_result pg_session::execute(const client_request& request)
{
    if (request.empty) {
        return {};
    }
    if (request.sql == probe_query || request.sql == promote_query) {
        return answer_system_query(request.sql);
    }
    if (working_session_ == nullptr) {
        working_session_ = instance_.working().open_session();
        committed_session_ = instance_.committed().open_session();
    }
    const std::string normalized_sql = normalize(request.sql);
    if (normalized_sql == reset_query && transaction_status_ != 'I') {
        return error_result("25001", "DISCARD ALL cannot run inside a transaction block");
    }
    if (normalized_sql == reset_query) {
        return tag_result("DISCARD ALL");
    }
    if (normalized_sql.starts_with("BEGIN") || normalized_sql.starts_with("START TRANSACTION") ||
        normalized_sql.starts_with("COMMIT") || normalized_sql.starts_with("ROLLBACK")) {
        return execute_transaction_control(normalized_sql);
    }
    if (transaction_status_ == 'E') {
        return error_result("25P02",
                            "current transaction is aborted, commands ignored until end of "
                            "transaction block");
    }
    const bool read_only = read_only_ || !instance_.is_primary();
    if (transaction_status_ == 'I') {
        engine_result res = run_statement(committed_session_, request.sql, request.params, true);
        if (read_only || res.sqlstate != read_only_sqlstate) {
            return res;
        }
    }
    engine_result res = run_statement(working_session_, request.sql, request.params, read_only);
    if (!res.sqlstate.empty()) {
        if (transaction_status_ == 'T' && !res.busy) {
            transaction_status_ = 'E';
        }
        return res;
    }
    if (res.changed_data) {
        uncommitted_changes_.push_back({request.sql, request.params});
        if (transaction_status_ == 'I') {
            instance_.commit(std::exchange(uncommitted_changes_, {}));
        }
    }
    return res;
}

void pg_session::send_result(const engine_result& res)
{
    const client_request& request = requests_.front();
    if (request.empty) {
        send_ready();
        return;
    }
    if (!res.sqlstate.empty()) {
        send_error(res.sqlstate, res.message, false);
        send_ready();
        return;
    }
    if (!request.simple) {
        send('1', {});
        send('2', {});
    }
    if (res.columns.empty()) {
        if (!request.simple) {
            send('n', {});
        }
    }
    else {
        QByteArray description;
        put16(description, static_cast<quint16>(res.columns.size()));
        for (const column& c : res.columns) {
            put_c_string(description, c.name);
            put32(description, 0);
            put16(description, 0);
            put32(description, c.type);
            put16(description, static_cast<quint16>(-1));
            put32(description, static_cast<quint32>(-1));
            put16(description, 0);
        }
        send('T', description);
    }
    for (const auto& row : res.rows) {
        QByteArray data;
        put16(data, static_cast<quint16>(row.size()));
        for (const cell& value : row) {
            put32(data, value ? static_cast<quint32>(value->size()) : static_cast<quint32>(-1));
            if (value) {
                data.append(value->data(), static_cast<qsizetype>(value->size()));
            }
        }
        send('D', data);
    }
    QByteArray tag;
    put_c_string(tag, res.tag);
    send('C', tag);
    send_ready();
}

void pg_session::send(char type, const QByteArray& body)
{
    QByteArray out;
    out.append(type);
    put32(out, static_cast<quint32>(body.size() + length_bytes));
    out.append(body);
    socket_->write(out);
}

void pg_session::send_error(const std::string& sqlstate, const std::string& message, bool fatal)
{
    QByteArray body;
    for (const auto& [field, value] :
         std::vector<std::pair<char, std::string>>{{'S', fatal ? "FATAL" : "ERROR"},
                                                   {'V', fatal ? "FATAL" : "ERROR"},
                                                   {'C', sqlstate},
                                                   {'M', message}}) {
        body.append(field);
        put_c_string(body, value);
    }
    body.append('\0');
    send('E', body);
}

void pg_session::send_ready()
{
    QByteArray body;
    body.append(transaction_status_);
    send('Z', body);
}

}  // namespace balsamdrift::rig
