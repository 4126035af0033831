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

/// Called with a connected session, or with null and an error message.
using session_handler = std::function<void(db_session*, const std::string& message)>;

/// A session with an instance, on a pooled connection of its own. Not a session of a caller.
struct db_session {
    std::unique_ptr<pg_connection> connection;
    std::string instance;
    bool read_only = false;
    /// True after the first use: the next use must first reset the state of the connection.
    bool needs_reset = false;
    /// Id of the request that runs on it; zero while it is idle or held by a transaction.
    std::uint64_t request_id = 0;
    /// Called once the connection is established or has failed.
    session_handler on_ready;
};

/// Limits of the connections that the pool opens.
struct pool_limits {
    /// Connections to each replica.
    int replica = 3;
    /// Connections to the primary.
    int primary = 11;
    /// Connections to one instance that may be in the process of connecting at the same time.
    int connecting = 4;
};

/// Pool of an owner's connections to the instances of its group. Lives on the owner's thread.
class session_pool {
public:
    /// `on_idle_lost` is called with the instance when it has closed a connection on which nothing
    /// ran.
    session_pool(QObject* owner, std::function<void(const std::string&)> on_idle_lost);

    /// Sets the limits and the instance that is the primary. Connections beyond the limits are
    /// closed when they are released.
    void set_limits(const pool_limits& limits, const std::string& primary);

    /// Sets or changes the address of an instance.
    void set_address(const std::string& instance, const endpoint& address);

    /// True when acquire() may be called: a session is idle, or a new one may be opened.
    bool can_acquire(const std::string& instance, bool read_only) const;

    /// Calls `on_ready` at once with an idle session, or later with a new one; with null if
    /// connecting failed. May be called only if can_acquire() is true.
    void acquire(const std::string& instance, bool read_only, session_handler on_ready);

    /// Returns a session to the pool. It is closed unless it is `clean`, that is, outside a
    /// transaction.
    void release(db_session* session, bool clean);

    /// Closes a session.
    void discard(db_session* session);

    /// Closes all sessions to an instance and returns the ids of the requests that ran on them.
    /// Pending calls of acquire() for the instance fail.
    std::vector<std::uint64_t> drop_instance(const std::string& instance);

    /// Number of connections, including those that are still connecting.
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
