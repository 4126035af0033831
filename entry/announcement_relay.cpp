#include "entry/announcement_relay.h"

#include "base/codec.h"
#include "core/registry/item_id.h"

namespace balsamdrift {
namespace {

/// Announcements that are older than this are dropped: the instance may no longer exist.
constexpr seconds max_announcement_age(3);

}  // namespace

announcement_relay::announcement_relay(entry_view& view, fleet_node& fleet, owner_host& owners)
    : view_(view), fleet_(fleet), owners_(owners)
{
}

std::uint64_t announcement_relay::forward(const announcement& received)
{
    const auto state = view_.state();
    const auto owner = state->owners.find(group_item(received.group));
    if (owner == state->owners.end() || owner->second.entry.name.empty()) {
        return 0;
    }
    if (owner->second.entry == view_.self()) {
        owners_.handle_announcement(received);
        return owner->second.epoch;
    }
    const auto entry = state->entries.find(owner->second.entry.name);
    if (entry == state->entries.end()) {
        return 0;
    }
    fleet_.send(entry->second.address, fleet_channel::work, encode_variant(work_message(received)));
    return owner->second.epoch;
}

void announcement_relay::receive(const announcement& received)
{
    const std::uint64_t epoch = forward(received);
    announcements_.with(received.instance, [&](relay_shard& shard) {
        shard.by_instance[{received.group, received.instance}] = {received, monotonic_clock::now(),
                                                                  epoch};
    });
}

void announcement_relay::on_view_changed()
{
    const auto state = view_.state();
    const time_point now = monotonic_clock::now();
    announcements_.for_each([&](relay_shard& shard) {
        std::erase_if(shard.by_instance, [&](const auto& it) {
            return now - it.second.received_at > max_announcement_age;
        });
        for (auto& [key, it] : shard.by_instance) {
            const auto owner = state->owners.find(group_item(it.content.group));
            if (owner != state->owners.end() && owner->second.epoch != it.sent_epoch) {
                it.sent_epoch = forward(it.content);
            }
        }
    });
}

}  // namespace balsamdrift
