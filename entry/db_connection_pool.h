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

struct db_connection;

/// Called with an established connection, or with null and an error message.
using acquire_handler = std::function<void(db_connection*, const std::string& message)>;

/// A pooled connection to an instance, which runs one request or transaction at a time.
struct db_connection {
    std::unique_ptr<pg_connection> transport;
    std::string instance;
    bool read_only = false;
    /// True after the first use: the next use must first reset the state that it left.
    bool needs_reset = false;
    /// Id of the request that runs on it; zero while it is idle or held by a transaction.
    std::uint64_t request_id = 0;
    /// Called once the connection is established or has failed.
    acquire_handler on_ready;
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
class db_connection_pool {
public:
    /// `on_idle_lost` is called with the instance when it has closed a connection on which nothing
    /// ran.
    db_connection_pool(QObject* owner, std::function<void(const std::string&)> on_idle_lost);

    /// Sets the limits and the instance that is the primary. Connections beyond the limits are
    /// closed when they are released.
    void set_limits(const pool_limits& limits, const std::string& primary);

    /// Sets or changes the address of an instance.
    void set_address(const std::string& instance, const endpoint& address);

    /// True when acquire() may be called: a connection is idle, or a new one may be opened.
    bool can_acquire(const std::string& instance, bool read_only) const;

    /// Calls `on_ready` at once with an idle connection, or later with a new one; with null if
    /// connecting failed. May be called only if can_acquire() is true.
    void acquire(const std::string& instance, bool read_only, acquire_handler on_ready);

    /// Returns a connection to the pool. It is closed unless it is `clean`, that is, outside a
    /// transaction.
    void release(db_connection* connection, bool clean);

    /// Closes a connection.
    void discard(db_connection* connection);

    /// Closes all connections to an instance and returns the ids of the requests that ran on them.
    /// Pending calls of acquire() for the instance fail.
    std::vector<std::uint64_t> drop_instance(const std::string& instance);

    /// Number of connections, including those that are still connecting.
    std::size_t size() const { return connections_.size(); }

private:
    struct instance_connections {
        endpoint address;
        std::vector<db_connection*> idle;
        int total = 0;
        int connecting = 0;
    };

    int limit_of(const std::string& instance) const;
    db_connection* find_idle(instance_connections& it, bool read_only);
    void connect_new(const std::string& instance, bool read_only, acquire_handler on_ready);
    void on_idle_closed(db_connection* connection);

    QObject* owner_;
    std::function<void(const std::string&)> on_idle_lost_;
    pool_limits limits_;
    std::string primary_;
    std::map<std::string, instance_connections> instances_;
    std::map<db_connection*, std::unique_ptr<db_connection>> connections_;
};

}  // namespace balsamdrift
