#include "core/sessions/session_token.h"

#include <QByteArray>
#include <algorithm>

#include "base/codec.h"
#include "base/signature.h"

namespace balsamdrift {
namespace {

constexpr std::size_t max_token_bytes = 8192;

constexpr auto base64_options = QByteArray::Base64UrlEncoding | QByteArray::OmitTrailingEquals;

}  // namespace

std::string sign_token(const session_token& token, const std::string& secret)
{
    const std::string payload = encode(token);
    const QByteArray bytes = QByteArray::fromStdString(sign(payload, secret) + payload);
    return bytes.toBase64(base64_options).toStdString();
}

outcome<session_token> verify_token(const std::string& text, const std::string& secret,
                                    const std::string& customer)
{
    if (text.size() > max_token_bytes) {
        return failure{"the session token is too long"};
    }
    const auto decoded = QByteArray::fromBase64Encoding(
        QByteArray::fromStdString(text), base64_options | QByteArray::AbortOnBase64DecodingErrors);
    if (!decoded || decoded.decoded.size() <= static_cast<qsizetype>(signature_bytes)) {
        return failure{"the session token is malformed"};
    }
    const std::string bytes = decoded.decoded.toStdString();
    const std::string payload = bytes.substr(signature_bytes);
    if (!verify_signature(std::string_view(bytes).substr(0, signature_bytes), payload, secret)) {
        return failure{"the session token's signature is wrong"};
    }
    auto token = decode<session_token>(payload);
    if (succeeded(token) && value_of(token).customer != customer) {
        return failure{"the session token belongs to another customer"};
    }
    return token;
}

void record_seen_position(session_token& token, const std::string& group,
                          const log_position& position)
{
    log_position& seen = token.seen_positions[group];
    seen = std::max(seen, position);
}

}  // namespace balsamdrift
