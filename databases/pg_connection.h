#pragma once

#include <QObject>
#include <QSocketNotifier>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "databases/query_result.h"

namespace balsamdrift {

/// Settings of one connection to an instance.
struct pg_connection_options {
    endpoint address;
    std::string user = "balsamdrift";
    std::string database = "balsamdrift";
    /// Refuse anything that writes, also on a primary.
    bool read_only = false;
};

/// State of the transaction on a connection, as the instance reported it last.
enum class transaction_status : std::uint8_t { idle, open, failed, unknown };

/// A connection to a database instance through libpq, driven by the event loop of its thread. Runs
/// one batch of statements at a time; each statement is its own unit unless the batch opens a
/// transaction.
class pg_connection : public QObject {
public:
    using ready_handler = std::function<void(bool connected, const std::string& message)>;
    using batch_handler = std::function<void(batch_outcome)>;

    explicit pg_connection(pg_connection_options options, QObject* parent = nullptr);
    ~pg_connection() override;

    /// Connects. `on_ready` is called once; `on_closed` whenever an established connection is lost
    /// while no batch runs.
    void open(ready_handler on_ready, std::function<void()> on_closed);

    /// Runs a batch and answers it once. Only one batch may run at a time.
    void run(const std::vector<sql_statement>& batch, batch_handler on_done);

    /// Forgets all handlers; nothing is called any more.
    void drop_handlers();

    bool is_open() const { return open_; }
    bool is_running() const { return on_done_ != nullptr; }
    transaction_status transaction() const;

private:
    void poll_connecting();
    void on_readable();
    void on_writable();
    void read_results();
    void finish_batch();
    void lose(const std::string& message);
    void watch(bool read, bool write);
    void unwatch();
    void take_result(PGresult* result);

    pg_connection_options options_;
    PGconn* handle_ = nullptr;
    std::unique_ptr<QSocketNotifier> readable_;
    std::unique_ptr<QSocketNotifier> writable_;
    ready_handler on_ready_;
    std::function<void()> on_closed_;
    batch_handler on_done_;
    std::vector<query_result> results_;
    /// Statements of the running batch whose end marker has not come yet.
    std::size_t pending_ = 0;
    bool open_ = false;
};

}  // namespace balsamdrift
