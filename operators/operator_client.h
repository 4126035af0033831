#pragma once

#include <QNetworkAccessManager>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/outcome.h"
#include "base/time.h"

namespace balsamdrift {

/// Settings of operator_client.
struct operator_client_options {
    /// `address:port` of the operator API of every control member.
    std::vector<std::string> members;
    std::string token;
    /// change() and get_from_leader() start no further round of attempts after this time.
    duration timeout = seconds(10);
};

/// An answer of the operator API.
struct operator_answer {
    /// HTTP status.
    int status = 0;
    /// The parsed body; a discarded value if it is not JSON.
    nlohmann::json body;
};

/// Client of the operator API. Finds the leader, and repeats a change with the same id until its
/// result is known. All functions block.
class operator_client {
public:
    explicit operator_client(operator_client_options options);

    /// Sends a change to the leader. Fails if there was no answer within the timeout. The change
    /// may then still be accepted; sending it again with the same change id gives its result.
    outcome<operator_answer> change(const nlohmann::json& change);

    /// Reads a resource of the leader. If no member leads, the answer of another member is
    /// returned.
    outcome<operator_answer> get_from_leader(const std::string& path);

    /// Reads a resource of the process at this address.
    outcome<operator_answer> get(const std::string& address, const std::string& path);

private:
    /// Sends one request: POST with this body, or GET if it is null. Fails if there was no
    /// response.
    outcome<operator_answer> send_request(const std::string& address, const std::string& path,
                                          const std::string* body);

    operator_client_options options_;
    QNetworkAccessManager network_;
};

}  // namespace balsamdrift
