#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/sessions/log_position.h"

namespace balsamdrift {

/// What a caller asks of a database group.
enum class work_kind : std::uint8_t {
    read,
    /// A write that may be repeated without harm.
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
    /// The request ran, and its answer is whole.
    ran,
    /// The request may have run.
    unknown,
};

/// A statement on its way to the owner of its group.
struct work_request {
    std::uint64_t id = 0;
    std::string customer;
    std::string group;
    work_kind kind = work_kind::read;
    std::string sql;
    /// Parameters as text; absent ones are NULL.
    std::vector<std::optional<std::string>> params;
    /// Key under which a write runs at most once, also when it is sent again.
    std::string idempotency_key;
    std::string transaction;
    log_position floor;
    /// Oldest data accepted, in milliseconds; negative when not stated.
    std::int64_t max_age_ms = -1;
    /// Time left until the caller's deadline when this was sent.
    std::int64_t remaining_ms = 0;
    MSGPACK_DEFINE(id, customer, group, kind, sql, params, idempotency_key, transaction, floor,
                   max_age_ms, remaining_ms)
};

/// The whole answer to one request, matched by its id.
struct work_answer {
    std::uint64_t id = 0;
    run_outcome outcome = run_outcome::not_run;
    /// Empty on success; otherwise a stable code from docs/CALLERS.md.
    std::string code;
    std::string message;
    /// SQLSTATE, when the database refused the statement.
    std::string sqlstate;
    /// When to come back, in milliseconds; zero when coming back does not help.
    std::int64_t retry_after_ms = 0;
    /// Result as JSON text.
    std::string result;
    std::string transaction;
    log_position position;
    /// Instance that served the request.
    std::string instance;
    bool from_replica = false;
    MSGPACK_DEFINE(id, outcome, code, message, sqlstate, retry_after_ms, result, transaction,
                   position, instance, from_replica)
};

/// An entry asks the owner of a customer's bucket for tokens.
struct token_request {
    std::uint64_t id = 0;
    std::string customer;
    std::uint32_t count = 0;
    MSGPACK_DEFINE(id, customer, count)
};

/// The owner's answer: the first `granted` requests pass.
struct token_answer {
    std::uint64_t id = 0;
    std::string customer;
    std::uint32_t granted = 0;
    std::int64_t retry_after_ms = 0;
    /// True when the asked process does not own the bucket.
    bool not_owner = false;
    MSGPACK_DEFINE(id, customer, granted, retry_after_ms, not_owner)
};

/// An instance's announcement, passed on to the owner of its group.
struct announcement {
    std::string group;
    std::string instance;
    std::string address;
    std::string failure_domain;
    bool leaving = false;
    MSGPACK_DEFINE(group, instance, address, failure_domain, leaving)
};

/// A caller left; its request need not start any more.
struct work_cancel {
    std::uint64_t id = 0;
    std::string group;
    std::string customer;
    MSGPACK_DEFINE(id, group, customer)
};

/// Any message between entries.
using work_message =
    std::variant<work_request, work_answer, token_request, token_answer, announcement, work_cancel>;

}  // namespace balsamdrift

MSGPACK_ADD_ENUM(balsamdrift::work_kind)
MSGPACK_ADD_ENUM(balsamdrift::run_outcome)
