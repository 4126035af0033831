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
           a.born_ms != b.born_ms || a.failure_domain != b.failure_domain || a.slots != b.slots ||
           is_cold(a) != is_cold(b);
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

/// Largest number of removals that are remembered.
constexpr std::size_t max_removals = 1000;

/// Removes the instances for which `predicate` is true.
template<class Predicate>
void remove_if(instance_directory& directory, Predicate predicate)
{
    std::erase_if(directory.instances, [&](const auto& entry) {
        const bool matches = predicate(entry.second);
        if (matches) {
            directory.removed[entry.first] = ++directory.version;
        }
        return matches;
    });
    if (directory.removed.size() > max_removals) {
        directory.removed.clear();
        directory.removals_known_since = directory.version;
    }
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
    remove_if(directory, [&](const known_instance& it) {
        return it.last_heartbeat.instance != heartbeat.instance &&
               it.last_heartbeat.address == heartbeat.address;
    });
    const bool changed = found == directory.instances.end() ||
                         differs_for_entries(found->second.last_heartbeat, heartbeat);
    known_instance& it = directory.instances[heartbeat.instance];
    it.last_heartbeat = heartbeat;
    it.last_heartbeat_at = now;
    if (changed) {
        it.changed_version = ++directory.version;
        directory.removed.erase(heartbeat.instance);
    }
    return heartbeat_result::accepted;
}

void record_sign_of_life(instance_directory& directory, const std::string& instance,
                         time_point heard_at)
{
    const auto it = directory.instances.find(instance);
    if (it != directory.instances.end()) {
        it->second.last_heartbeat_at = std::max(it->second.last_heartbeat_at, heard_at);
    }
}

void remove_instance(instance_directory& directory, const std::string& instance,
                     std::int64_t born_ms)
{
    remove_if(directory, [&](const known_instance& it) {
        return it.last_heartbeat.instance == instance && it.last_heartbeat.born_ms <= born_ms;
    });
}

bool displaces_instance(const instance_directory& directory, const instance_heartbeat& heartbeat)
{
    return std::any_of(directory.instances.begin(), directory.instances.end(),
                       [&](const auto& entry) {
                           const instance_heartbeat& other = entry.second.last_heartbeat;
                           const bool same_name = other.instance == heartbeat.instance;
                           return same_name ? other.service != heartbeat.service
                                            : other.address == heartbeat.address;
                       });
}

void remove_undeclared(instance_directory& directory, const instance_heartbeat& heartbeat,
                       const std::function<bool(const std::string& service)>& is_declared)
{
    remove_if(directory, [&](const known_instance& it) {
        const instance_heartbeat& other = it.last_heartbeat;
        const bool same =
            other.instance == heartbeat.instance || other.address == heartbeat.address;
        return same && other.service != heartbeat.service && !is_declared(other.service);
    });
}

void remove_expired_instances(instance_directory& directory, const directory_options& options,
                              time_point now)
{
    remove_if(directory, [&](const known_instance& it) {
        return now - it.last_heartbeat_at > options.expiry;
    });
}

instance_record_changes changes_to_record(const instance_directory& directory,
                                          const recorded_instances& recorded)
{
    instance_record_changes changes;
    for (const auto& [name, it] : directory.instances) {
        const auto found = recorded.find(name);
        if (found == recorded.end() || differs_for_entries(found->second, it.last_heartbeat)) {
            changes.changed.push_back(it.last_heartbeat);
        }
    }
    for (const auto& [name, it] : recorded) {
        if (!directory.instances.contains(name)) {
            changes.removed.push_back(name);
        }
    }
    return changes;
}

void restore_instances(instance_directory& directory, const recorded_instances& recorded,
                       time_point now)
{
    for (const auto& [name, it] : recorded) {
        if (!directory.instances.contains(name)) {
            (void)record_heartbeat(directory, it, now);
        }
    }
}

directory_changes changes_since(const instance_directory& directory, std::uint64_t version)
{
    directory_changes changes;
    if (version == 0 || version < directory.removals_known_since) {
        changes.complete = true;
        changes.changed = list_instances(directory);
        return changes;
    }
    for (const auto& [name, it] : directory.instances) {
        if (it.changed_version > version) {
            changes.changed.push_back(it.last_heartbeat);
        }
    }
    for (const auto& [name, removed_version] : directory.removed) {
        if (removed_version > version) {
            changes.removed.push_back(name);
        }
    }
    return changes;
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
