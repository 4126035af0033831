#include "entry/session_pool.h"

#include <algorithm>

#include "base/event_log.h"
#include "base/invariant.h"

namespace balsamdrift {

session_pool::session_pool(QObject* owner, std::function<void(const std::string&)> on_idle_lost)
    : owner_(owner), on_idle_lost_(std::move(on_idle_lost))
{
}

void session_pool::set_limits(const pool_limits& limits, const std::string& primary)
{
    limits_ = limits;
    primary_ = primary;
}

void session_pool::set_address(const std::string& instance, const endpoint& address)
{
    instances_[instance].address = address;
}

int session_pool::limit_of(const std::string& instance) const
{
    return instance == primary_ ? limits_.primary : limits_.replica;
}

db_session* session_pool::find_idle(instance_sessions& it, bool read_only)
{
    const auto found = std::find_if(it.idle.rbegin(), it.idle.rend(), [&](const db_session* idle) {
        return idle->read_only == read_only;
    });
    return found == it.idle.rend() ? nullptr : *found;
}

bool session_pool::can_acquire(const std::string& instance, bool read_only) const
{
    const auto found = instances_.find(instance);
    if (found == instances_.end()) {
        return false;
    }
    const instance_sessions& it = found->second;
    const bool idle = std::any_of(it.idle.begin(), it.idle.end(), [&](const db_session* session) {
        return session->read_only == read_only;
    });
    const bool can_open = it.total < limit_of(instance) || !it.idle.empty();
    return idle || (can_open && it.connecting < limits_.connecting);
}

void session_pool::acquire(const std::string& instance, bool read_only, session_handler on_ready)
{
    instance_sessions& it = instances_.at(instance);
    if (db_session* session = find_idle(it, read_only)) {
        std::erase(it.idle, session);
        on_ready(session, "");
        return;
    }
    if (it.total >= limit_of(instance) && !it.idle.empty()) {
        // The limit is reached: the session that has been idle longest is closed. It is of the
        // other kind (read-only or not), since none of this kind is idle.
        discard(it.idle.front());
    }
    connect_new(instance, read_only, std::move(on_ready));
}

void session_pool::connect_new(const std::string& instance, bool read_only,
                               session_handler on_ready)
{
    instance_sessions& it = instances_.at(instance);
    auto session = std::make_unique<db_session>();
    db_session* const raw = session.get();
    raw->instance = instance;
    raw->read_only = read_only;
    raw->connection = std::make_unique<pg_connection>(
        pg_connection_options{.address = it.address, .read_only = read_only});
    sessions_.emplace(raw, std::move(session));
    ++it.total;
    ++it.connecting;
    raw->on_ready = std::move(on_ready);
    raw->connection->open(
        [this, raw](bool connected, const std::string& message) {
            --instances_.at(raw->instance).connecting;
            const session_handler ready = std::exchange(raw->on_ready, nullptr);
            if (connected) {
                ready(raw, "");
                return;
            }
            discard(raw);
            ready(nullptr, message);
        },
        [this, raw] { on_idle_closed(raw); });
}

void session_pool::on_idle_closed(db_session* session)
{
    const std::string instance = session->instance;
    discard(session);
    on_idle_lost_(instance);
}

void session_pool::release(db_session* session, bool clean)
{
    session->request_id = 0;
    instance_sessions& it = instances_.at(session->instance);
    if (!clean || !session->connection->is_open() || it.total > limit_of(session->instance)) {
        discard(session);
        return;
    }
    it.idle.push_back(session);
}

void session_pool::discard(db_session* session)
{
    const auto found = sessions_.find(session);
    BALSAMDRIFT_INVARIANT(found != sessions_.end());
    instance_sessions& it = instances_.at(session->instance);
    std::erase(it.idle, session);
    --it.total;
    // This may be called from a handler of the connection, so the event loop deletes it later.
    found->second->connection->drop_handlers();
    found->second->connection.release()->deleteLater();
    sessions_.erase(found);
}

std::vector<std::uint64_t> session_pool::drop_instance(const std::string& instance)
{
    std::vector<db_session*> dropped;
    std::vector<std::uint64_t> requests;
    std::vector<session_handler> waiting;
    for (const auto& [raw, session] : sessions_) {
        if (session->instance == instance) {
            dropped.push_back(raw);
        }
    }
    for (db_session* session : dropped) {
        if (session->request_id != 0) {
            requests.push_back(session->request_id);
        }
        if (session->on_ready) {
            --instances_.at(instance).connecting;
            waiting.push_back(std::move(session->on_ready));
        }
        discard(session);
    }
    for (const session_handler& it : waiting) {
        it(nullptr, "the instance is lost");
    }
    return requests;
}

}  // namespace balsamdrift
