#pragma once

#include <sqlite3.h>

#include <QByteArray>
#include <QObject>
#include <QTcpSocket>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "rig/standin/instance.h"

namespace balsamdrift::rig {

/// Session of a client: the part of the server side of the PostgreSQL protocol that libpq needs.
class pg_session : public QObject {
public:
    pg_session(QTcpSocket* socket, instance& owner, QObject* parent);
    ~pg_session() override;

private:
    /// The messages of the extended query protocol up to a Sync, or one simple query.
    struct client_request {
        std::string sql;
        std::vector<std::optional<std::string>> params;
        bool simple = false;
        /// Only a Sync, without a statement.
        bool empty = true;
    };

    void read_available();
    /// Both return false if no further message can be handled yet.
    bool read_startup();
    bool read_message();
    void handle_message(char type, const QByteArray& body);
    void finish_connect();
    void start_next();
    void run_request();
    void finish_request(const engine_result& res);
    void send_result(const engine_result& res);
    engine_result execute(const client_request& request);
    /// Runs BEGIN, COMMIT or ROLLBACK.
    engine_result execute_transaction_control(const std::string& normalized_sql);
    /// Answers a query of the state of the instance, or a request to promote it.
    engine_result answer_system_query(const std::string& sql);
    void reset_session();
    void send(char type, const QByteArray& body);
    void send_error(const std::string& sqlstate, const std::string& message, bool fatal);
    void send_ready();

    instance& instance_;
    QTcpSocket* socket_;
    QByteArray input_;
    bool startup_received_ = false;
    bool read_only_ = false;
    /// Sessions on the committed and the working data, opened at the first statement.
    sqlite3* committed_session_ = nullptr;
    sqlite3* working_session_ = nullptr;
    /// The request of which the Sync has not arrived yet.
    client_request incoming_;
    /// Requests in order of arrival; the first one runs if `running_`.
    std::deque<client_request> requests_;
    bool running_ = false;
    /// When the running request was started, including its wait for a slot.
    time_point started_at_{};
    /// Transaction status of the protocol: I (idle), T (in a transaction) or E (failed
    /// transaction).
    char transaction_status_ = 'I';
    /// Statements of the open transaction that changed data.
    std::vector<replayed_statement> uncommitted_changes_;
};

}  // namespace balsamdrift::rig
