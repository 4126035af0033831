#include "core/instances/instance_directory.h"

#include <algorithm>
#include <utility>

namespace balsamdrift {
namespace {

/// True when `a` was sent before `b`. Both come from the same instance.
bool is_older(const instance_heartbeat& a, const instance_heartbeat& b)
{
    return std::pair(a.born_ms, a.sequence) < std::pair(b.born_ms, b.sequence);
}

/// True when the heartbeats differ in something that entries use.
bool differs_for_entries(const instance_heartbeat& a, const instance_heartbeat& b)
{
    return a.service != b.service || a.address != b.address ||
           a.reports_primary != b.reports_primary || a.leaving != b.leaving ||
           a.born_ms != b.born_ms || a.failure_domain != b.failure_domain || a.slots != b.slots;
}

/// True when another instance that started later uses the same address.
bool is_address_reused(const instance_directory& directory, const instance_heartbeat& heartbeat)
{
    return std::any_of(
        directory.instances.begin(), directory.instances.end(), [&](const auto& entry) {
            const instance_heartbeat& other = entry.second.last_heartbeat;
            return other.instance != heartbeat.instance && other.address == heartbeat.address &&
                   other.born_ms > heartbeat.born_ms;
        });
}

}  // namespace

heartbeat_result record_heartbeat(instance_directory& directory,
                                  const instance_heartbeat& heartbeat, time_point now)
{
    if (is_address_reused(directory, heartbeat)) {
        return heartbeat_result::outdated;
    }
    const auto found = directory.instances.find(heartbeat.instance);
    if (found != directory.instances.end() && is_older(heartbeat, found->second.last_heartbeat)) {
        return heartbeat_result::outdated;
    }
    const auto removed = std::erase_if(directory.instances, [&](const auto& entry) {
        return entry.first != heartbeat.instance &&
               entry.second.last_heartbeat.address == heartbeat.address;
    });
    const bool changed = removed > 0 || found == directory.instances.end() ||
                         differs_for_entries(found->second.last_heartbeat, heartbeat);
    directory.instances[heartbeat.instance] = {heartbeat, now};
    directory.version += changed ? 1 : 0;
    return heartbeat_result::accepted;
}

void remove_instance(instance_directory& directory, const std::string& instance)
{
    directory.version += directory.instances.erase(instance);
}

void remove_expired_instances(instance_directory& directory, const directory_options& options,
                              time_point now)
{
    directory.version += std::erase_if(directory.instances, [&](const auto& entry) {
        return now - entry.second.last_heartbeat_at > options.expiry;
    });
}

std::vector<instance_heartbeat> list_instances(const instance_directory& directory)
{
    std::vector<instance_heartbeat> all;
    for (const auto& [name, it] : directory.instances) {
        all.push_back(it.last_heartbeat);
    }
    return all;
}

}  // namespace balsamdrift
