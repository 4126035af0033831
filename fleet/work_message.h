#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/sessions/log_position.h"

namespace balsamdrift {

/// Kind of a caller's request to a database group.
enum class work_kind : std::uint8_t {
    read,
    /// A write that may safely be repeated.
    idempotent_write,
    /// A write that runs at most once.
    write,
    begin,
    transaction_statement,
    commit,
    rollback,
};

/// What is known about the effect of a request.
enum class run_outcome : std::uint8_t {
    /// The request had no effect and will have none.
    not_run,
    /// The request ran, and its answer is complete.
    ran,
    /// The request may have run.
    unknown,
};

/// A caller's request, sent to the owner of its database group.
struct work_request {
    std::uint64_t id = 0;
    std::string customer;
    std::string group;
    work_kind kind = work_kind::read;
    std::string sql;
    /// Parameters as text; std::nullopt stands for NULL.
    std::vector<std::optional<std::string>> params;
    /// Key under which a write runs at most once even if it is sent repeatedly; may be empty.
    std::string idempotency_key;
    std::string transaction;
    /// The instance that serves a read must have applied the log up to this position.
    log_position min_position;
    /// Largest accepted age of the data read, in milliseconds; negative if not limited.
    std::int64_t max_age_ms = -1;
    /// Time left until the caller's deadline when this was sent, in milliseconds.
    std::int64_t remaining_ms = 0;
    MSGPACK_DEFINE(id, customer, group, kind, sql, params, idempotency_key, transaction,
                   min_position, max_age_ms, remaining_ms)
};

/// The complete answer to a work_request, matched by its id.
struct work_answer {
    std::uint64_t id = 0;
    run_outcome outcome = run_outcome::not_run;
    /// Empty on success; otherwise one of the stable error codes in docs/CALLERS.md.
    std::string code;
    std::string message;
    /// SQLSTATE, if the database refused the statement.
    std::string sqlstate;
    /// Delay before a retry, in milliseconds; zero if a retry would not help.
    std::int64_t retry_after_ms = 0;
    /// Result as JSON text.
    std::string result;
    std::string transaction;
    /// Log position that later reads of the caller's session must reflect.
    log_position position;
    /// Instance that served the request.
    std::string instance;
    bool from_replica = false;
    MSGPACK_DEFINE(id, outcome, code, message, sqlstate, retry_after_ms, result, transaction,
                   position, instance, from_replica)
};

/// An entry requests tokens from the owner of a customer's token bucket.
struct token_request {
    std::uint64_t id = 0;
    std::string customer;
    std::uint32_t count = 0;
    MSGPACK_DEFINE(id, customer, count)
};

/// The owner's answer to a token_request: the first `granted` waiting requests are admitted.
struct token_answer {
    std::uint64_t id = 0;
    std::string customer;
    std::uint32_t granted = 0;
    std::int64_t retry_after_ms = 0;
    /// True when the receiving process does not own the bucket.
    bool not_owner = false;
    MSGPACK_DEFINE(id, customer, granted, retry_after_ms, not_owner)
};

/// An instance's announcement, forwarded to the owner of its group.
struct announcement {
    std::string group;
    std::string instance;
    std::string address;
    std::string failure_domain;
    bool leaving = false;
    MSGPACK_DEFINE(group, instance, address, failure_domain, leaving)
};

/// A caller disconnected; its request is not started if it has not been already.
struct work_cancel {
    std::uint64_t id = 0;
    std::string group;
    std::string customer;
    MSGPACK_DEFINE(id, group, customer)
};

/// Any message on fleet_channel::work.
using work_message =
    std::variant<work_request, work_answer, token_request, token_answer, announcement, work_cancel>;

}  // namespace balsamdrift

MSGPACK_ADD_ENUM(balsamdrift::work_kind)
MSGPACK_ADD_ENUM(balsamdrift::run_outcome)
