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

/// One client's session: the server side of the PostgreSQL protocol as far as libpq needs it.
class pg_session : public QObject {
public:
    pg_session(QTcpSocket* socket, instance& owner, QObject* parent);
    ~pg_session() override;

private:
    /// One extended-protocol unit up to its Sync, or one simple query.
    struct unit {
        std::string sql;
        std::vector<std::optional<std::string>> params;
        bool simple = false;
        bool empty = true;
    };

    void read_available();
    bool read_startup();
    bool read_message();
    void handle_message(char type, const QByteArray& body);
    void finish_connect();
    void start_next();
    void run_unit();
    void complete(const engine_result& res);
    void answer_unit(const engine_result& res);
    engine_result execute(const unit& it);
    engine_result execute_transaction_word(const std::string& word);
    engine_result system_answer(const std::string& sql);
    void reset_session();
    void send(char type, const QByteArray& body);
    void send_error(const std::string& sqlstate, const std::string& message, bool fatal);
    void send_ready();

    instance& instance_;
    QTcpSocket* socket_;
    QByteArray input_;
    bool started_ = false;
    bool read_only_ = false;
    /// Handles on the committed and the working data, opened at their first use.
    sqlite3* reading_ = nullptr;
    sqlite3* writing_ = nullptr;
    unit building_;
    std::deque<unit> units_;
    bool running_ = false;
    time_point busy_since_{};
    /// Transaction state letter of the protocol: I, T or E.
    char transaction_ = 'I';
    std::vector<replayed_statement> changes_;
};

}  // namespace balsamdrift::rig
