#pragma once

#include <QThread>
#include <memory>
#include <string>
#include <vector>

#include "base/start_retry.h"
#include "callers/http_server.h"
#include "entry/announcement_relay.h"
#include "entry/entry_view.h"
#include "entry/lease_client.h"
#include "entry/owner_host.h"
#include "entry/statement_service.h"
#include "entry/token_service.h"
#include "entry/work_router.h"
#include "fleet/fleet_node.h"

namespace balsamdrift {

/// Settings of an entry.
struct entry_options {
    std::string name;
    std::string failure_domain;
    /// HTTP server for callers.
    http_server_options callers;
    /// HTTP server for instances, operators and the platform.
    http_server_options platform;
    /// Threads that run the owners of database groups.
    int database_threads = 2;
    /// Fleet addresses of control members, as the settings list them.
    std::vector<std::string> control;
    duration lease_renew_interval = milliseconds(500);
    std::string operator_token;
};

/// Addresses that an entry listens on.
struct entry_addresses {
    endpoint callers;
    endpoint platform;
};

/// An entry: serves callers on one VM, and owns database groups and customer shards for the fleet.
class entry_service {
public:
    entry_service(entry_options options, fleet_node& fleet);
    ~entry_service();
    entry_service(const entry_service&) = delete;
    entry_service& operator=(const entry_service&) = delete;

    /// Starts to serve and returns the addresses in use.
    outcome<entry_addresses> start(const start_retry& retry = {});

    /// Handles a fleet message. Safe from any thread.
    void receive(fleet_message message);

    /// Performs periodic work: repeats requests, expires them and releases items. Called every few
    /// milliseconds.
    void tick();

    /// Reports unready and starts to release all owned items. Callers are still served.
    void begin_drain();

    /// Refuses new requests, except those of open transactions, and new connections.
    void refuse_new_statements();

    /// True when no caller waits for an answer and no database group is owned.
    bool is_drained() const;

    /// Gives up the lease and stops all threads.
    void stop();

private:
    void on_view_changed();
    void serve_caller(const http_request& request, const http_responder& responder);
    void serve_platform(const http_request& request, const http_responder& responder);
    bool is_ready() const;
    http_response make_readiness_response() const;
    http_response make_status_response();
    void handle_work_message(const fleet_message& message);

    entry_options options_;
    fleet_node& fleet_;
    entry_view view_;
    QThread lease_thread_;
    std::unique_ptr<lease_client> lease_;
    owner_host owners_;
    work_router router_;
    token_service tokens_;
    announcement_relay relay_;
    statement_service statements_;
    http_server callers_;
    http_server platform_;
    std::atomic<bool> draining_ = false;
    bool stopped_ = false;
};

}  // namespace balsamdrift
