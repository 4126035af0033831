#pragma once

#include <QTcpSocket>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "base/time.h"
#include "callers/http_message.h"

namespace balsamdrift::rig {

/// The answer that a caller got; status 0 when the connection failed or timed out.
struct caller_answer {
    int status = 0;
    nlohmann::json body;
    std::string session;
    int retry_after_seconds = 0;
};

/// What a caller sends along with a statement.
struct statement_options {
    std::string access = "write";
    std::string idempotency_key;
    std::string max_age;
    duration timeout = seconds(5);
};

/// A caller with a key and a session, as a client library would be. Blocks; keeps its connection.
class caller {
public:
    caller(std::string address, std::string key)
        : address_(std::move(address)), key_(std::move(key))
    {
    }

    /// Goes on at another entry, with the same session.
    void set_address(const std::string& address);

    /// Runs one statement.
    caller_answer statement(const std::string& group, const std::string& sql,
                            const nlohmann::json& params = nlohmann::json::array(),
                            const statement_options& options = {});

    /// Runs one read.
    caller_answer read(const std::string& group, const std::string& sql,
                       const nlohmann::json& params = nlohmann::json::array());

    /// Sends a request to any path.
    caller_answer post(const std::string& path, const std::string& body,
                       const std::vector<http_header>& headers, duration limit);

    /// Reads a path without a key.
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
