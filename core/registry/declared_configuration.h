#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <set>
#include <string>

#include "base/codec.h"
#include "base/time.h"

namespace balsamdrift {

/// Consistency that reads on a route are guaranteed.
enum class read_consistency : std::uint8_t {
    /// Reads see every commit acknowledged before they began; the primary serves them.
    primary,
    /// Reads see every commit acknowledged longer ago than the maximum staleness of the route.
    bounded_staleness,
    /// As bounded staleness; reads also see every commit of the caller's own session.
    read_your_writes,
};

/// How the statements for one database, as callers name it, are served.
struct declared_route {
    std::string service;
    read_consistency consistency = read_consistency::primary;
    /// Time limit of a single statement.
    milliseconds statement_timeout{0};
    /// Target latency of a whole operation.
    milliseconds latency_objective{0};
    /// Greatest age of the data that a read may see. Unused on routes to the primary.
    milliseconds max_staleness{0};
    /// Lower values are served first.
    int priority = 0;
    /// True when callers need no key.
    bool open_to_all = false;
    /// Regions whose instances may run the route's statements; empty for all regions.
    std::set<std::string> allowed_regions;

    bool operator==(const declared_route&) const = default;
    MSGPACK_DEFINE(service, consistency, statement_timeout, latency_objective, max_staleness,
                   priority, open_to_all, allowed_regions)
};

/// A service: one primary and its replicas.
struct declared_service {
    /// Limit of the connections to one instance from all VMs together.
    int connections = 0;
    /// Replicas that must have received a commit before it is acknowledged.
    int synchronous_replicas = 0;
    /// Statements per second that an instance takes while it warms up; zero for no limit.
    double warmup_rate = 0;

    bool operator==(const declared_service&) const = default;
    MSGPACK_DEFINE(connections, synchronous_replicas, warmup_rate)
};

/// Limits of a customer over all VMs together.
struct declared_customer {
    /// Operations per second.
    double rate = 0;
    /// Operations that may arrive at once after a pause.
    double burst = 0;
    int priority = 0;
    /// Regions whose instances may run the customer's statements; empty for all regions.
    std::set<std::string> allowed_regions;

    bool operator==(const declared_customer&) const = default;
    MSGPACK_DEFINE(rate, burst, priority, allowed_regions)
};

/// The configuration that operators of the platform replace as a whole. The highest version is in
/// force.
struct declared_configuration {
    /// Zero until a configuration has been accepted.
    std::uint64_t version = 0;
    /// The document as it was received, returned when the configuration is read back. Entries do
    /// not keep it.
    std::string document;
    /// Routes by the name of the database.
    std::map<std::string, declared_route> routes;
    std::map<std::string, declared_service> services;
    std::map<std::string, declared_customer> customers;
    /// Customers by their keys.
    std::map<std::string, std::string> customer_of_key;
    /// A transaction that is idle for longer may be ended.
    milliseconds transaction_idle_timeout{0};

    bool operator==(const declared_configuration&) const = default;
    MSGPACK_DEFINE(version, document, routes, services, customers, customer_of_key,
                   transaction_idle_timeout)
};

}  // namespace balsamdrift

MSGPACK_ADD_ENUM(balsamdrift::read_consistency)
