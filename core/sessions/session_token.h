#pragma once

#include <map>
#include <string>

#include "base/outcome.h"
#include "core/sessions/log_position.h"

namespace balsamdrift {

/// What a session has seen: for each database group the newest position that it wrote or read. The
/// caller holds it between requests.
struct session_token {
    std::string customer;
    std::map<std::string, log_position> seen_positions;

    bool operator==(const session_token&) const = default;
    MSGPACK_DEFINE(customer, seen_positions)
};

/// Encodes a token as base64url text, signed with HMAC-SHA-256. The content is not encrypted.
std::string sign_token(const session_token& token, const std::string& secret);

/// Decodes a token. Fails when it is malformed, its signature does not match or it belongs to
/// another customer.
outcome<session_token> verify_token(const std::string& text, const std::string& secret,
                                    const std::string& customer);

/// Records that the session has seen a position of a group. An older position changes nothing.
void record_seen_position(session_token& token, const std::string& group,
                          const log_position& position);

}  // namespace balsamdrift
