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
    /// Makes the instance refuse writes on this connection, also if it is the primary.
    bool read_only = false;
};

/// Transaction state of a connection, as the instance last reported it.
enum class transaction_status : std::uint8_t { idle, open, failed, unknown };

/// A libpq connection to a database instance, driven by the event loop of its thread. Runs one
/// batch of statements at a time in pipeline mode. Each statement commits on its own unless the
/// batch opens a transaction.
class pg_connection : public QObject {
public:
    using connect_handler = std::function<void(bool connected, const std::string& message)>;
    using batch_handler = std::function<void(batch_outcome)>;

    explicit pg_connection(pg_connection_options options, QObject* parent = nullptr);
    ~pg_connection() override;

    /// Starts to connect. `on_connected` is called once, with the result; `on_closed` is called
    /// when an established connection is lost while no batch runs.
    void open(connect_handler on_connected, std::function<void()> on_closed);

    /// Runs a batch and calls `on_done` once with its results. Only one batch may run at a time.
    void run(const std::vector<sql_statement>& batch, batch_handler on_done);

    /// Removes all handlers, so that none is called any more. The socket is closed by the
    /// destructor.
    void drop_handlers();

    bool is_open() const { return open_; }
    /// True while a batch runs.
    bool is_running() const { return on_done_ != nullptr; }
    transaction_status transaction() const;

private:
    void poll_connecting();
    void on_readable();
    void on_writable();
    void read_results();
    void finish_batch();
    void handle_connection_loss(const std::string& message);
    void watch(bool read, bool write);
    void unwatch();
    void store_result(PGresult* result);

    pg_connection_options options_;
    PGconn* handle_ = nullptr;
    std::unique_ptr<QSocketNotifier> readable_;
    std::unique_ptr<QSocketNotifier> writable_;
    connect_handler on_connected_;
    std::function<void()> on_closed_;
    batch_handler on_done_;
    std::vector<query_result> results_;
    /// Statements of the running batch whose pipeline sync result has not arrived yet.
    std::size_t unfinished_statements_ = 0;
    bool open_ = false;
};

}  // namespace balsamdrift
