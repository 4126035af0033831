#pragma once

#include <QObject>
#include <QTimer>
#include <memory>

#include "base/start_retry.h"
#include "callers/http_server.h"
#include "entry/entry_view.h"
#include "entry/lease_client.h"
#include "fleet/fleet_node.h"
#include "platform/line_server.h"
#include "pooling/session_service.h"

namespace balsamdrift {

/// Settings of an entry that runs statements itself.
struct statement_entry_options {
    std::string name;
    /// Where callers connect.
    endpoint statements;
    /// HTTP server for readiness checks.
    http_server_options readiness;
    /// Fleet addresses of control members, as the settings list them.
    std::vector<std::string> control;
    duration lease_renew_interval = milliseconds(500);
    session_service_options sessions;
};

/// An entry whose callers and instances use the platform's statement protocol. It runs statements
/// itself. Sessions, the lease client and all connections live on one thread.
class statement_entry {
public:
    statement_entry(statement_entry_options options, fleet_node& fleet);
    ~statement_entry();
    statement_entry(const statement_entry&) = delete;
    statement_entry& operator=(const statement_entry&) = delete;

    /// Starts to serve and returns the address for callers.
    outcome<endpoint> start(const start_retry& retry = {});

    /// Handles a fleet message. Safe from any thread.
    void receive(fleet_message message);

    /// Reports unready and tells control. Callers are still served.
    void begin_drain();

    /// Closes sessions that are idle outside a transaction. Called repeatedly during a stop.
    void end_idle_sessions();

    /// Aborts open transactions; their callers are told that nothing was committed.
    void abort_transactions() { sessions_.abort_transactions(); }

    /// Accepts no further connections.
    void stop_accepting() { server_.stop_accepting(); }

    /// Refuses new operations; running ones are answered. Closes sessions as they become idle.
    void begin_closing() { sessions_.begin_closing(); }

    /// Answers all pending operations at once, because the process is about to exit.
    void finish_pending() { sessions_.finish_pending(); }

    /// True while a caller waits for an answer.
    bool is_answering() const { return sessions_.is_answering(); }

    /// True when no caller is connected.
    bool is_drained() const { return sessions_.session_count() == 0; }

    /// Gives up the lease and closes all connections.
    void stop();

private:
    void tick();
    bool is_ready() const;

    statement_entry_options options_;
    fleet_node& fleet_;
    entry_view view_;
    QObject owner_;
    session_service sessions_;
    line_server server_;
    std::unique_ptr<lease_client> lease_;
    http_server readiness_;
    std::atomic<bool> draining_ = false;
    std::atomic<bool> configured_ = false;
    /// True while control does not answer.
    std::atomic<bool> isolated_ = false;
    QTimer timer_;
    bool stopped_ = false;
};

}  // namespace balsamdrift
