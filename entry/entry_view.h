#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "base/time.h"
#include "core/registry/registry.h"

namespace balsamdrift {

/// An entry's view of the system: the configuration in force and the end of the entry's lease.
/// Written by the lease client; may be read from any thread.
class entry_view {
public:
    explicit entry_view(replica_id self)
        : self_(std::move(self)), state_(std::make_shared<const registry>())
    {
    }

    const replica_id& self() const { return self_; }

    /// The configuration in force.
    std::shared_ptr<const registry> state() const { return state_.load(); }

    /// True while the entry holds its lease and may serve callers.
    bool holds_lease(time_point now) const
    {
        return now.time_since_epoch().count() < lease_end_.load();
    }

    /// True while this entry holds its lease and owns the item in this epoch.
    bool owns(const std::string& item, std::uint64_t epoch, time_point now) const
    {
        if (!holds_lease(now)) {
            return false;
        }
        const auto state = state_.load();
        const auto it = state->owners.find(item);
        return it != state->owners.end() && it->second.entry == self_ && it->second.epoch == epoch;
    }

    void publish(std::shared_ptr<const registry> state) { state_.store(std::move(state)); }

    void set_lease_end(time_point end) { lease_end_.store(end.time_since_epoch().count()); }

private:
    replica_id self_;
    std::atomic<std::shared_ptr<const registry>> state_;
    std::atomic<duration::rep> lease_end_ = 0;
};

}  // namespace balsamdrift
