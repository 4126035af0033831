#pragma once

#include <map>
#include <string>

#include "base/sharded.h"
#include "base/time.h"
#include "entry/entry_view.h"
#include "entry/owner_host.h"
#include "fleet/fleet_node.h"

namespace balsamdrift {

/// Brings announcements of instances to the owners of their groups. Keeps the newest of each, so
/// that a new owner need not wait for the next round.
class announcement_relay {
public:
    announcement_relay(entry_view& view, fleet_node& fleet, owner_host& owners);

    /// Takes an announcement that an instance made to this VM.
    void receive(const announcement& it);

    /// Sends what is fresh to owners that are new since the last call.
    void on_view_changed();

private:
    /// The newest announcement of one instance and the epoch of the owner that got it.
    struct kept_announcement {
        announcement content;
        time_point received_at{};
        std::uint64_t sent_epoch = 0;
    };
    struct relay_shard {
        std::map<std::string, kept_announcement> by_instance;
    };

    std::uint64_t forward(const announcement& it);

    entry_view& view_;
    fleet_node& fleet_;
    owner_host& owners_;
    sharded<relay_shard> kept_;
};

}  // namespace balsamdrift
