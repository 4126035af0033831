#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>

#include "base/codec.h"
#include "base/time.h"

namespace balsamdrift {

/// What a caller of a database is promised about the data that its reads see.
enum class read_consistency : std::uint8_t {
    /// Every commit acknowledged before the read began; served by the primary.
    primary,
    /// Every commit acknowledged longer ago than the route's staleness.
    bounded_staleness,
    /// As bounded staleness, and every commit of the caller's own session.
    read_your_writes,
};

/// A database that callers name, and how its statements are served.
struct declared_route {
    std::string service;
    read_consistency consistency = read_consistency::primary;
    /// Limit of a single statement.
    milliseconds statement_timeout{0};
    /// Latency objective of a whole operation.
    milliseconds latency_objective{0};
    /// Oldest data that a read accepts; without meaning on routes to the primary.
    milliseconds max_staleness{0};
    /// 0 is served first.
    int priority = 0;
    /// True when callers need no key.
    bool open_to_all = false;

    bool operator==(const declared_route&) const = default;
    MSGPACK_DEFINE(service, consistency, statement_timeout, latency_objective, max_staleness,
                   priority, open_to_all)
};

/// A service: one primary and its replicas.
struct declared_service {
    /// Connections that one instance takes from all VMs together.
    int connections = 0;
    /// Replicas that have received a commit before it is acknowledged.
    int synchronous_replicas = 0;

    bool operator==(const declared_service&) const = default;
    MSGPACK_DEFINE(connections, synchronous_replicas)
};

/// Limits of a customer over all VMs together.
struct declared_customer {
    /// Operations per second.
    double rate = 0;
    /// Operations that may come at once after a pause.
    double burst = 0;
    int priority = 0;

    bool operator==(const declared_customer&) const = default;
    MSGPACK_DEFINE(rate, burst, priority)
};

/// A configuration that operators replace as a whole; the highest version is in force.
struct declared_configuration {
    /// Zero while none was accepted.
    std::uint64_t version = 0;
    /// The document as it was sent, for reading it back.
    std::string document;
    /// Routes by the name of the database.
    std::map<std::string, declared_route> routes;
    std::map<std::string, declared_service> services;
    std::map<std::string, declared_customer> customers;
    /// Customer that holds a key, by the key.
    std::map<std::string, std::string> customer_of_key;
    /// A transaction that rests for longer may be ended.
    milliseconds transaction_idle_timeout{0};

    bool operator==(const declared_configuration&) const = default;
    MSGPACK_DEFINE(version, document, routes, services, customers, customer_of_key,
                   transaction_idle_timeout)
};

}  // namespace balsamdrift

MSGPACK_ADD_ENUM(balsamdrift::read_consistency)
