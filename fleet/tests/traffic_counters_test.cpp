#include "fleet/traffic_counters.h"

#include <catch2/catch.hpp>

#include "base/codec.h"
#include "base/metrics.h"
#include "core/consensus/consensus_message.h"
#include "core/consensus/replica_id.h"
#include "fleet/lease_message.h"

using namespace balsamdrift;

namespace {

/// The envelope of the consensus channel, as control members encode it.
struct envelope {
    replica_id from;
    replica_id to;
    std::string message;
    MSGPACK_DEFINE(from, to, message)
};

}  // namespace

TEST_CASE("traffic is not counted under the type of another message", "[fleet]")
{
    const std::string release = encode_variant(lease_message(lease_release{}));
    CHECK(message_type_name(fleet_channel::lease, release) == "lease_release");
    const std::string append = encode_variant(consensus_message(append_request{}));
    CHECK(message_type_name(fleet_channel::consensus,
                            encode(envelope{{"c1", 5}, {"c2", 7}, append})) == "append_request");
}

TEST_CASE("a message of a newer or broken sender is counted as unknown", "[fleet]")
{
    CHECK(message_type_name(fleet_channel::lease, "\x92\x7f\x90") == "unknown");
    CHECK(message_type_name(fleet_channel::work, "") == "unknown");
    CHECK(message_type_name(fleet_channel::consensus, "\x93\xa2") == "unknown");
}

TEST_CASE("counted bytes and messages are listed among the metrics", "[fleet]")
{
    const std::string labels = "direction=\"sent\",type=\"lease_release\"";
    const std::uint64_t before = find_counter("balsamdrift_fleet_bytes_total", labels).value();
    count_message(traffic_direction::sent, fleet_channel::lease,
                  encode_variant(lease_message(lease_release{})), 120);
    CHECK(find_counter("balsamdrift_fleet_bytes_total", labels).value() == before + 120);
    CHECK(render_metrics().find("balsamdrift_fleet_messages_total{" + labels + "}") !=
          std::string::npos);
}
