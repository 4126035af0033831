#include "fleet/frame_codec.h"

#include <arpa/inet.h>

#include <array>
#include <limits>

#include "base/codec.h"
#include "base/signature.h"

namespace balsamdrift {
namespace {

/// First byte of a short frame. A full frame may begin with the same byte, as its signature may
/// have any; the signatures tell which one it is.
constexpr char short_format_mark = '\xc1';

constexpr std::size_t address_bytes = 4;
constexpr std::size_t sender_bytes = address_bytes + 2;

/// Body of a short frame.
struct short_frame {
    std::uint8_t channel = 0;
    /// IPv4 address and port, both in network byte order.
    std::string sender;
    std::uint64_t stamp = 0;
    std::string body;
    /// `stamp` minus the received stamp; no_received_stamp if no frame was received.
    std::int64_t received_age = 0;
    MSGPACK_DEFINE(channel, sender, stamp, body, received_age)
};

constexpr std::int64_t no_received_stamp = std::numeric_limits<std::int64_t>::min();

std::string unpack_sender(std::string_view packed)
{
    if (packed.size() != sender_bytes) {
        return {};
    }
    std::array<char, INET_ADDRSTRLEN> text{};
    if (inet_ntop(AF_INET, packed.data(), text.data(), text.size()) == nullptr) {
        return {};
    }
    const auto high = static_cast<unsigned char>(packed[address_bytes]);
    const auto low = static_cast<unsigned char>(packed[address_bytes + 1]);
    return std::string(text.data()) + ":" + std::to_string(high * 256 + low);
}

/// Packs `address:port`. Empty if unpack_sender() would not give the same text.
std::string pack_sender(const std::string& sender)
{
    const std::size_t colon = sender.rfind(':');
    constexpr std::size_t max_port_digits = 5;
    if (colon == std::string::npos || sender.size() - colon - 1 > max_port_digits) {
        return {};
    }
    std::string packed(address_bytes, '\0');
    if (inet_pton(AF_INET, sender.substr(0, colon).c_str(), packed.data()) != 1) {
        return {};
    }
    unsigned port = 0;
    for (const char digit : sender.substr(colon + 1)) {
        if (digit < '0' || digit > '9') {
            return {};
        }
        port = port * 10 + static_cast<unsigned>(digit - '0');
    }
    packed.push_back(static_cast<char>(port >> 8U));
    packed.push_back(static_cast<char>(port & 0xffU));
    return unpack_sender(packed) == sender ? packed : std::string();
}

std::optional<fleet_frame> decode_short(std::string_view bytes, const std::string& secret)
{
    constexpr std::size_t header_bytes = 1 + short_signature_bytes;
    if (bytes.size() < header_bytes || bytes.front() != short_format_mark ||
        !verify_short_signature(bytes.substr(1, short_signature_bytes), bytes.substr(header_bytes),
                                secret)) {
        return std::nullopt;
    }
    auto decoded = decode<short_frame>(bytes.substr(header_bytes));
    if (!succeeded(decoded)) {
        return std::nullopt;
    }
    short_frame& it = value_of(decoded);
    std::string sender = unpack_sender(it.sender);
    if (sender.empty()) {
        return std::nullopt;
    }
    const std::uint64_t received = it.received_age == no_received_stamp
                                       ? 0
                                       : it.stamp - static_cast<std::uint64_t>(it.received_age);
    return fleet_frame{.channel = it.channel,
                       .sender = std::move(sender),
                       .stamp = it.stamp,
                       .body = std::move(it.body),
                       .received_stamp = received,
                       .reads_short_frames = true};
}

}  // namespace

std::string encode_frame(const fleet_frame& frame, bool short_format, const std::string& secret)
{
    const std::string sender = short_format ? pack_sender(frame.sender) : std::string();
    if (sender.empty()) {
        const std::string encoded = encode(frame);
        return sign(encoded, secret) + encoded;
    }
    const std::uint64_t received = frame.received_stamp.value_or(0);
    const std::string encoded = encode(short_frame{
        .channel = frame.channel,
        .sender = sender,
        .stamp = frame.stamp,
        .body = frame.body,
        .received_age =
            received == 0 ? no_received_stamp : static_cast<std::int64_t>(frame.stamp - received)});
    std::string bytes(1, short_format_mark);
    bytes.append(sign(encoded, secret), 0, short_signature_bytes);
    return bytes.append(encoded);
}

std::optional<fleet_frame> decode_frame(std::string_view bytes, const std::string& secret)
{
    if (auto frame = decode_short(bytes, secret)) {
        return frame;
    }
    if (bytes.size() < signature_bytes ||
        !verify_signature(bytes.substr(0, signature_bytes), bytes.substr(signature_bytes),
                          secret)) {
        return std::nullopt;
    }
    auto decoded = decode<fleet_frame>(bytes.substr(signature_bytes));
    if (!succeeded(decoded)) {
        return std::nullopt;
    }
    return std::move(value_of(decoded));
}

}  // namespace balsamdrift
