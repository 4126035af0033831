#include "entry/db_connection_pool.h"

#include <algorithm>

#include "base/event_log.h"
#include "base/invariant.h"

namespace balsamdrift {

db_connection_pool::db_connection_pool(QObject* owner,
                                       std::function<void(const std::string&)> on_idle_lost)
    : owner_(owner), on_idle_lost_(std::move(on_idle_lost))
{
}

void db_connection_pool::set_limits(const pool_limits& limits, const std::string& primary)
{
    limits_ = limits;
    primary_ = primary;
}

void db_connection_pool::set_address(const std::string& instance, const endpoint& address)
{
    instances_[instance].address = address;
}

int db_connection_pool::limit_of(const std::string& instance) const
{
    return instance == primary_ ? limits_.primary : limits_.replica;
}

db_connection* db_connection_pool::find_idle(instance_connections& it, bool read_only)
{
    const auto found =
        std::find_if(it.idle.rbegin(), it.idle.rend(),
                     [&](const db_connection* idle) { return idle->read_only == read_only; });
    return found == it.idle.rend() ? nullptr : *found;
}

bool db_connection_pool::can_acquire(const std::string& instance, bool read_only) const
{
    const auto found = instances_.find(instance);
    if (found == instances_.end()) {
        return false;
    }
    const instance_connections& it = found->second;
    const bool idle =
        std::any_of(it.idle.begin(), it.idle.end(), [&](const db_connection* connection) {
            return connection->read_only == read_only;
        });
    const bool can_open = it.total < limit_of(instance) || !it.idle.empty();
    return idle || (can_open && it.connecting < limits_.connecting);
}

void db_connection_pool::acquire(const std::string& instance, bool read_only,
                                 acquire_handler on_ready)
{
    instance_connections& it = instances_.at(instance);
    if (db_connection* connection = find_idle(it, read_only)) {
        std::erase(it.idle, connection);
        on_ready(connection, "");
        return;
    }
    if (it.total >= limit_of(instance) && !it.idle.empty()) {
        // The limit is reached: the connection that has been idle longest is closed. It is of the
        // other kind (read-only or not), since none of this kind is idle.
        discard(it.idle.front());
    }
    connect_new(instance, read_only, std::move(on_ready));
}

void db_connection_pool::connect_new(const std::string& instance, bool read_only,
                                     acquire_handler on_ready)
{
    instance_connections& it = instances_.at(instance);
    auto connection = std::make_unique<db_connection>();
    db_connection* const raw = connection.get();
    raw->instance = instance;
    raw->read_only = read_only;
    raw->transport = std::make_unique<pg_connection>(
        pg_connection_options{.address = it.address, .read_only = read_only});
    connections_.emplace(raw, std::move(connection));
    ++it.total;
    ++it.connecting;
    raw->on_ready = std::move(on_ready);
    raw->transport->open(
        [this, raw](bool connected, const std::string& message) {
            --instances_.at(raw->instance).connecting;
            const acquire_handler ready = std::exchange(raw->on_ready, nullptr);
            if (connected) {
                ready(raw, "");
                return;
            }
            discard(raw);
            ready(nullptr, message);
        },
        [this, raw] { on_idle_closed(raw); });
}

void db_connection_pool::on_idle_closed(db_connection* connection)
{
    const std::string instance = connection->instance;
    const std::vector<db_connection*>& idle = instances_.at(instance).idle;
    // An open transaction that has no statement running keeps its connection. It finds the
    // connection closed with its next statement, or when it expires, and discards it then.
    if (std::find(idle.begin(), idle.end(), connection) != idle.end()) {
        discard(connection);
    }
    on_idle_lost_(instance);
}

void db_connection_pool::release(db_connection* connection, bool clean)
{
    connection->request_id = 0;
    instance_connections& it = instances_.at(connection->instance);
    if (!clean || !connection->transport->is_open() || it.total > limit_of(connection->instance)) {
        discard(connection);
        return;
    }
    it.idle.push_back(connection);
}

void db_connection_pool::discard(db_connection* connection)
{
    const auto found = connections_.find(connection);
    BALSAMDRIFT_INVARIANT(found != connections_.end());
    instance_connections& it = instances_.at(connection->instance);
    std::erase(it.idle, connection);
    --it.total;
    // This may be called from a handler of the connection, so the event loop deletes it later.
    found->second->transport->drop_handlers();
    found->second->transport.release()->deleteLater();
    connections_.erase(found);
}

std::vector<std::uint64_t> db_connection_pool::drop_instance(const std::string& instance)
{
    std::vector<db_connection*> dropped;
    std::vector<std::uint64_t> requests;
    std::vector<acquire_handler> waiting;
    for (const auto& [raw, connection] : connections_) {
        if (connection->instance == instance) {
            dropped.push_back(raw);
        }
    }
    for (db_connection* connection : dropped) {
        if (connection->request_id != 0) {
            requests.push_back(connection->request_id);
        }
        if (connection->on_ready) {
            --instances_.at(instance).connecting;
            waiting.push_back(std::move(connection->on_ready));
        }
        discard(connection);
    }
    for (const acquire_handler& it : waiting) {
        it(nullptr, "the instance is lost");
    }
    return requests;
}

}  // namespace balsamdrift
