#pragma once

#include <QTcpSocket>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "base/time.h"
#include "callers/http_message.h"

namespace balsamdrift::rig {

/// The answer to a request of a caller.
struct caller_answer {
    /// HTTP status, or 0 if the connection failed or no answer came in time.
    int status = 0;
    /// The body as JSON; discarded if it is not JSON.
    nlohmann::json body;
    /// The session token that came with the answer; empty if none did.
    std::string session;
    /// 0 if the answer has no Retry-After header.
    int retry_after_seconds = 0;
};

/// Options of a statement. Empty texts are not sent.
struct statement_options {
    /// Member `access` of the request: read, write or idempotent.
    std::string access = "write";
    std::string idempotency_key;
    /// Header Balsamdrift-Max-Age: largest age of the data that a read may return.
    std::string max_age;
    /// How long the system may take.
    duration timeout = seconds(5);
};

/// A caller with an API key and a session, as a client library would be. All requests block. The
/// connection is kept between requests.
class caller {
public:
    caller(std::string address, std::string key)
        : address_(std::move(address)), key_(std::move(key))
    {
    }

    /// Sends further requests to the entry at this address, with the same session.
    void set_address(const std::string& address);

    /// Runs a statement on a database group.
    caller_answer statement(const std::string& group, const std::string& sql,
                            const nlohmann::json& params = nlohmann::json::array(),
                            const statement_options& options = {});

    /// Runs a statement with access `read`.
    caller_answer read(const std::string& group, const std::string& sql,
                       const nlohmann::json& params = nlohmann::json::array());

    /// Sends a POST request with key and session, and waits up to `limit` for the answer.
    caller_answer post(const std::string& path, const std::string& body,
                       const std::vector<http_header>& headers, duration limit);

    /// Sends a GET request without a key.
    caller_answer get(const std::string& path);

    const std::string& session() const { return session_; }
    void set_session(const std::string& session) { session_ = session; }

private:
    caller_answer exchange(const std::string& request, duration limit);

    std::string address_;
    std::string key_;
    std::string session_;
    std::unique_ptr<QTcpSocket> socket_;
};

}  // namespace balsamdrift::rig
