#include "fleet/traffic_counters.h"

#include <array>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "core/consensus/consensus_message.h"
#include "fleet/lease_message.h"
#include "fleet/work_message.h"

namespace balsamdrift {
namespace {

constexpr std::string_view unknown_type = "unknown";

/// Names of the alternatives of consensus_message, lease_message and work_message, in their order.
constexpr std::array<std::string_view, std::variant_size_v<consensus_message>> consensus_types{
    "vote_request",     "vote_reply",    "append_request", "append_reply",
    "install_snapshot", "hello_request", "hello_reply"};
constexpr std::array<std::string_view, std::variant_size_v<lease_message>> lease_types{
    "lease_request",
    "lease_grant",
    "not_leader",
    "owner_command",
    "lease_release",
    "relayed_heartbeat",
    "relayed_command",
    "relayed_command_result",
    "relayed_deregistration",
    "relayed_lease_request",
    "relayed_lease_grant",
    "rate_token_request",
    "rate_token_grant",
    "lease_renewal",
    "renewal_refused"};
constexpr std::array<std::string_view, std::variant_size_v<work_message>> work_types{
    "work_request", "work_answer", "token_request", "token_answer", "announcement", "work_cancel"};

constexpr std::size_t consensus_offset = 0;
constexpr std::size_t lease_offset = consensus_offset + consensus_types.size();
constexpr std::size_t work_offset = lease_offset + lease_types.size();
constexpr std::size_t unknown_offset = work_offset + work_types.size();
constexpr std::size_t type_count = unknown_offset + 1;

/// Index of the alternative of a body that encode_variant() wrote: an array of two, then the index
/// as a number below 128. An index that is no such number is larger than any variant.
std::size_t alternative_of(std::string_view body)
{
    constexpr unsigned char array_of_two = 0x92;
    const bool is_pair = body.size() >= 2 && static_cast<unsigned char>(body[0]) == array_of_two;
    return is_pair ? static_cast<unsigned char>(body[1]) : std::string_view::npos;
}

/// The message in the envelope of the consensus channel, which is its last member. Empty if the
/// envelope is malformed.
std::string_view consensus_message_in(std::string_view body, msgpack::object_handle& handle)
{
    constexpr std::size_t message_member = 2;
    // Strings are referenced instead of copied, because a snapshot may be large.
    const auto reference = [](msgpack::type::object_type, std::size_t, void*) { return true; };
    try {
        bool referenced = false;
        msgpack::unpack(handle, body.data(), body.size(), referenced, reference);
    }
    catch (const std::exception&) {
        return {};
    }
    const msgpack::object& root = handle.get();
    if (root.type != msgpack::type::ARRAY || root.via.array.size <= message_member ||
        root.via.array.ptr[message_member].type != msgpack::type::STR) {
        return {};
    }
    const msgpack::object_str& message = root.via.array.ptr[message_member].via.str;
    return {message.ptr, message.size};
}

std::size_t type_index(fleet_channel channel, std::string_view body)
{
    const auto index_in = [](std::size_t offset, std::size_t count, std::size_t alternative) {
        return alternative < count ? offset + alternative : unknown_offset;
    };
    switch (channel) {
        case fleet_channel::consensus: {
            msgpack::object_handle handle;
            return index_in(consensus_offset, consensus_types.size(),
                            alternative_of(consensus_message_in(body, handle)));
        }
        case fleet_channel::lease:
            return index_in(lease_offset, lease_types.size(), alternative_of(body));
        case fleet_channel::work:
            return index_in(work_offset, work_types.size(), alternative_of(body));
    }
    return unknown_offset;
}

std::string_view name_of(std::size_t index)
{
    if (index < lease_offset) {
        return consensus_types.at(index);
    }
    if (index < work_offset) {
        return lease_types.at(index - lease_offset);
    }
    return index < unknown_offset ? work_types.at(index - work_offset) : unknown_type;
}

/// Counters of one message type in one direction.
struct type_counters {
    metric_counter& bytes;
    metric_counter& messages;
};

std::vector<type_counters> make_counters(std::string_view direction)
{
    std::vector<type_counters> counters;
    for (std::size_t n = 0; n < type_count; ++n) {
        std::string labels = "direction=\"";
        labels.append(direction).append("\",type=\"").append(name_of(n)).append("\"");
        counters.push_back({find_counter("balsamdrift_fleet_bytes_total", labels),
                            find_counter("balsamdrift_fleet_messages_total", labels)});
    }
    return counters;
}

}  // namespace

std::string_view message_type_name(fleet_channel channel, std::string_view body)
{
    return name_of(type_index(channel, body));
}

void count_message(traffic_direction direction, fleet_channel channel, std::string_view body,
                   std::uint64_t bytes)
{
    static std::vector<type_counters> sent = make_counters("sent");
    static std::vector<type_counters> received = make_counters("received");
    type_counters& it =
        (direction == traffic_direction::sent ? sent : received).at(type_index(channel, body));
    it.bytes.add(bytes);
    it.messages.add(1);
}

}  // namespace balsamdrift
