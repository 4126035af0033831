#pragma once

#include <QObject>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/sessions/log_position.h"
#include "databases/pg_connection.h"

namespace balsamdrift {

struct db_session;

/// Called with a connected session, or with null and the reason.
using session_handler = std::function<void(db_session*, const std::string& message)>;

/// A pooled connection.
struct db_session {
    std::unique_ptr<pg_connection> connection;
    std::string instance;
    bool read_only = false;
    /// True once it served somebody: the next use begins by resetting it.
    bool needs_reset = false;
    /// Request id of the work that runs on it; zero when it is idle or held by a transaction.
    std::uint64_t request_id = 0;
    /// Who waits for the connection to be established.
    session_handler on_ready;
};

/// How many connections the pool may open.
struct pool_limits {
    int replica = 3;
    int primary = 11;
    /// Connections to one instance that may be under construction at a time.
    int connecting = 4;
};

/// The connections of one group's owner. Lives on the owner's thread.
class session_pool {
public:
    /// `on_idle_lost` is called with the instance when an idle connection was closed by it.
    session_pool(QObject* owner, std::function<void(const std::string&)> on_idle_lost);

    /// Sets the limits; connections beyond them are closed as they become idle.
    void set_limits(const pool_limits& limits, const std::string& primary);

    /// Sets or changes the address of an instance.
    void set_address(const std::string& instance, const endpoint& address);

    /// True when a session can be had now, be it after connecting.
    bool can_acquire(const std::string& instance, bool read_only) const;

    /// Gives an idle session at once, or a new one once it is connected; null if that failed. Call
    /// only if can_acquire.
    void acquire(const std::string& instance, bool read_only, session_handler on_ready);

    /// Takes a session back. It is closed unless it is clean.
    void release(db_session* session, bool clean);

    /// Closes a session.
    void discard(db_session* session);

    /// Closes all sessions to an instance and returns the work that ran on them. Whoever waits for
    /// a new connection to it is told that it failed.
    std::vector<std::uint64_t> drop_instance(const std::string& instance);

    /// Open connections, for the metrics.
    std::size_t size() const { return sessions_.size(); }

private:
    struct instance_sessions {
        endpoint address;
        std::vector<db_session*> idle;
        int total = 0;
        int connecting = 0;
    };

    int limit_of(const std::string& instance) const;
    db_session* find_idle(instance_sessions& it, bool read_only);
    void connect_new(const std::string& instance, bool read_only, session_handler on_ready);
    void on_idle_closed(db_session* session);

    QObject* owner_;
    std::function<void(const std::string&)> on_idle_lost_;
    pool_limits limits_;
    std::string primary_;
    std::map<std::string, instance_sessions> instances_;
    std::map<db_session*, std::unique_ptr<db_session>> sessions_;
};

}  // namespace balsamdrift
