#pragma once

#include <QNetworkAccessManager>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/outcome.h"
#include "base/time.h"

namespace balsamdrift {

/// Settings of an operator's client.
struct operator_client_options {
    /// `address:port` of the operator API of every control member.
    std::vector<std::string> members;
    std::string token;
    duration timeout = seconds(10);
};

/// An answer of the operator API.
struct operator_answer {
    int status = 0;
    nlohmann::json body;
};

/// Talks to the operator API: finds the leader, and sends a change again with the same id until its
/// answer is known.
class operator_client {
public:
    explicit operator_client(operator_client_options options);

    /// Makes a change. The failure says that no answer was had within the timeout; the change may
    /// then still be accepted, and the same change id gives its answer later.
    outcome<operator_answer> change(const nlohmann::json& change);

    /// Reads a resource of the leader, or of any member if none leads.
    outcome<operator_answer> get_from_leader(const std::string& path);

    /// Reads a resource of one process.
    outcome<operator_answer> get(const std::string& address, const std::string& path);

private:
    outcome<operator_answer> exchange(const std::string& address, const std::string& path,
                                      const std::string* body);

    operator_client_options options_;
    QNetworkAccessManager network_;
};

}  // namespace balsamdrift
