#pragma once

#include <map>
#include <string>
#include <utility>

#include "base/sharded.h"
#include "base/time.h"
#include "entry/entry_view.h"
#include "entry/owner_host.h"
#include "fleet/fleet_node.h"

namespace balsamdrift {

/// Forwards instances' announcements to the owners of their groups. Stores the newest one of each
/// instance, so that a new owner need not wait for the next.
class announcement_relay {
public:
    announcement_relay(entry_view& view, fleet_node& fleet, owner_host& owners);

    /// Handles an announcement that an instance sent to this VM.
    void receive(const announcement& received);

    /// Sends the stored announcements to owners that have not received them yet, and drops those
    /// that are too old.
    void on_view_changed();

private:
    /// The newest announcement of one instance, and the epoch of the owner that it was sent to;
    /// zero if it was not sent.
    struct stored_announcement {
        announcement content;
        time_point received_at{};
        std::uint64_t sent_epoch = 0;
    };
    struct relay_shard {
        /// By the names of the group and the instance.
        std::map<std::pair<std::string, std::string>, stored_announcement> by_instance;
    };

    /// Sends an announcement to the owner of its group. Returns the owner's epoch; zero if the
    /// group has no owner.
    std::uint64_t forward(const announcement& received);

    entry_view& view_;
    fleet_node& fleet_;
    owner_host& owners_;
    sharded<relay_shard> announcements_;
};

}  // namespace balsamdrift
