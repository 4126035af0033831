#include "core/registry/registry.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

#include "base/codec.h"
#include "base/compression.h"
#include "base/invariant.h"
#include "core/registry/item_id.h"

namespace balsamdrift {
namespace {

constexpr std::size_t max_name_length = 64;
constexpr double max_rate = 1e6;
constexpr int max_connections = 10'000;
constexpr std::size_t sha256_hex_length = 64;

change_result accepted(std::uint64_t version) { return {change_status::accepted, version, ""}; }

change_result invalid(std::string message)
{
    return {change_status::invalid, 0, std::move(message)};
}

bool is_name(const std::string& text)
{
    constexpr std::string_view allowed =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    return !text.empty() && text.size() <= max_name_length &&
           text.find_first_not_of(allowed) == std::string::npos;
}

bool is_sha256_hex(const std::string& text)
{
    return text.size() == sha256_hex_length &&
           text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

/// True when the operator expects this version or none in particular.
bool version_matches(const operator_change& header, std::uint64_t version)
{
    return !header.expected_version || *header.expected_version == version;
}

change_result conflict(std::uint64_t version)
{
    return {change_status::conflict, version,
            "the record has version " + std::to_string(version) + " by now"};
}

change_result apply_body(registry& state, const operator_change& header, const put_customer& it)
{
    const bool rate_ok = it.rate > 0 && it.rate <= max_rate;
    const bool burst_ok = it.burst >= 1 && it.burst <= max_rate;
    if (!is_name(it.customer) || !rate_ok || !burst_ok) {
        return invalid(
            "a customer needs a name of letters, digits, '-', '_' or '.', a rate above 0 "
            "and a burst of at least 1");
    }
    const auto found = state.customers.find(it.customer);
    const std::uint64_t version = found == state.customers.end() ? 0 : found->second.version;
    if (!version_matches(header, version)) {
        return conflict(version);
    }
    const std::uint64_t created =
        found == state.customers.end() ? state.index : found->second.created_index;
    state.customers[it.customer] = {it.rate, it.burst, version + 1, created};
    return accepted(version + 1);
}

change_result apply_body(registry& state, const operator_change& header, const remove_customer& it)
{
    const auto found = state.customers.find(it.customer);
    if (found == state.customers.end()) {
        return invalid("no customer '" + it.customer + "'");
    }
    if (!version_matches(header, found->second.version)) {
        return conflict(found->second.version);
    }
    state.customers.erase(found);
    std::erase_if(state.keys, [&](const auto& key) { return key.second.customer == it.customer; });
    for (auto& [name, group] : state.groups) {
        group.customers.erase(it.customer);
    }
    return accepted(0);
}

change_result apply_body(registry& state, const operator_change&, const give_key& it)
{
    if (!state.customers.contains(it.customer)) {
        return invalid("no customer '" + it.customer + "'");
    }
    if (!is_name(it.key_id) || !is_sha256_hex(it.key_hash)) {
        return invalid("a key needs an id and the SHA-256 of its secret in hexadecimal");
    }
    for (const auto& [hash, key] : state.keys) {
        if (hash == it.key_hash || key.key_id == it.key_id) {
            return {change_status::conflict, 1, "key '" + it.key_id + "' exists"};
        }
    }
    state.keys[it.key_hash] = {it.key_id, it.customer};
    return accepted(1);
}

change_result apply_body(registry& state, const operator_change&, const withdraw_key& it)
{
    const auto removed =
        std::erase_if(state.keys, [&](const auto& key) { return key.second.key_id == it.key_id; });
    return removed == 0 ? invalid("no key '" + it.key_id + "'") : accepted(0);
}

change_result apply_body(registry& state, const operator_change& header, const put_group& it)
{
    const bool connections_ok = it.instances >= 1 && it.connections >= 4 * it.instances &&
                                it.connections <= max_connections;
    const bool slots_ok = it.slots >= 1 && it.slots <= it.connections;
    if (!is_name(it.group) || !connections_ok || !slots_ok) {
        return invalid(
            "a group needs a name, its number of instances, at least 4 connections for each and at "
            "least one slot");
    }
    const auto found = state.groups.find(it.group);
    const std::uint64_t version = found == state.groups.end() ? 0 : found->second.version;
    if (!version_matches(header, version)) {
        return conflict(version);
    }
    group_record& group = state.groups[it.group];
    group.instances = it.instances;
    group.connections = it.connections;
    group.slots = it.slots;
    group.ack = it.ack;
    group.version = version + 1;
    state.owners.try_emplace(group_item(it.group));
    return accepted(version + 1);
}

change_result change_grant(registry& state, const operator_change& header, const std::string& group,
                           const std::string& customer, bool granted)
{
    const auto found = state.groups.find(group);
    if (found == state.groups.end() || !state.customers.contains(customer)) {
        return invalid("no group '" + group + "' or no customer '" + customer + "'");
    }
    if (!version_matches(header, found->second.version)) {
        return conflict(found->second.version);
    }
    if (granted) {
        found->second.customers.insert(customer);
    }
    else {
        found->second.customers.erase(customer);
    }
    return accepted(++found->second.version);
}

change_result apply_body(registry& state, const operator_change& header, const grant_group& it)
{
    return change_grant(state, header, it.group, it.customer, true);
}

change_result apply_body(registry& state, const operator_change& header, const revoke_group& it)
{
    return change_grant(state, header, it.group, it.customer, false);
}

change_result apply_body(registry& state, const operator_change& header, const switch_preset& it)
{
    preset_record& record = state.preset;
    if (!version_matches(header, record.version)) {
        return conflict(record.version);
    }
    if (record.switching) {
        return {change_status::conflict, record.version, "another switch is under way"};
    }
    record.switching = true;
    record.pending = it.target;
    record.switch_index = state.index;
    return accepted(++record.version);
}

change_result apply_evacuation(registry& state, const std::string& domain, bool evacuated)
{
    if (domain.empty()) {
        return invalid("a failure domain needs a name");
    }
    state.ordered_domains.insert(domain);
    if (evacuated) {
        state.evacuated_domains.insert(domain);
    }
    else {
        state.evacuated_domains.erase(domain);
    }
    return accepted(0);
}

change_result apply_body(registry& state, const operator_change&, const evacuate_domain& it)
{
    return apply_evacuation(state, it.domain, true);
}

change_result apply_body(registry& state, const operator_change&, const restore_domain& it)
{
    return apply_evacuation(state, it.domain, false);
}

/// Stores an answer for resends and drops the oldest one beyond the limit.
void store_result(registry& state, const std::string& key, const change_result& result)
{
    state.results[key] = result;
    state.result_order.push_back(key);
    if (state.result_order.size() > max_kept_change_results) {
        state.results.erase(state.result_order.front());
        state.result_order.pop_front();
    }
}

change_result apply_command(registry& state, const operator_change& it)
{
    const std::string key = it.operator_name + "\n" + it.change_id;
    if (const auto found = state.results.find(key); found != state.results.end()) {
        return found->second;
    }
    const auto body = decode_variant<change_body>(it.body);
    change_result result = invalid("the change is not known to this version");
    if (succeeded(body)) {
        result = std::visit([&](const auto& change) { return apply_body(state, it, change); },
                            std::get<change_body>(body));
    }
    if (result.status == change_status::accepted) {
        ++state.version;
    }
    store_result(state, key, result);
    return result;
}

/// Frees all items of an entry process and starts a new epoch of each.
void free_items_of(registry& state, const replica_id& entry)
{
    for (auto& [item, owner] : state.owners) {
        if (owner.entry == entry) {
            owner = {.entry = {}, .epoch = owner.epoch + 1};
        }
    }
}

change_result apply_command(registry& state, const register_entry& it)
{
    const auto found = state.entries.find(it.entry);
    if (found != state.entries.end() && found->second.incarnation != it.record.incarnation) {
        free_items_of(state, {it.entry, found->second.incarnation});
    }
    state.entries[it.entry] = it.record;
    if (!it.record.failure_domain.empty()) {
        state.entry_domains.insert(it.record.failure_domain);
    }
    return accepted(0);
}

change_result apply_command(registry& state, const expire_entry& it)
{
    const auto found = state.entries.find(it.entry.name);
    if (found != state.entries.end() && found->second.incarnation == it.entry.incarnation) {
        state.entries.erase(found);
    }
    free_items_of(state, it.entry);
    return accepted(0);
}

change_result apply_command(registry& state, const assign_items& it)
{
    for (const item_assignment& assignment : it.items) {
        owner_record& owner = state.owners[assignment.item];
        const auto entry = state.entries.find(assignment.entry.name);
        const bool registered = entry != state.entries.end() &&
                                entry->second.incarnation == assignment.entry.incarnation;
        if (owner.entry.name.empty() && registered) {
            owner = {.entry = assignment.entry,
                     .epoch = owner.epoch + 1,
                     .epoch_start_index = state.index,
                     .bucket_levels = std::move(owner.bucket_levels)};
        }
    }
    return accepted(0);
}

change_result apply_command(registry& state, const recall_items& it)
{
    for (const std::string& item : it.items) {
        const auto found = state.owners.find(item);
        if (found != state.owners.end() && !found->second.entry.name.empty()) {
            found->second.recalled = true;
        }
    }
    return accepted(0);
}

change_result apply_command(registry& state, const release_item& it)
{
    const auto found = state.owners.find(it.item);
    if (found == state.owners.end() || found->second.epoch != it.epoch) {
        return {change_status::fenced, 0, "the epoch is over"};
    }
    found->second = {.entry = {}, .epoch = it.epoch + 1, .bucket_levels = it.bucket_levels};
    return accepted(0);
}

change_result apply_command(registry& state, const record_primary& it)
{
    const auto group = state.groups.find(it.group);
    const auto owner = state.owners.find(group_item(it.group));
    if (group == state.groups.end() || owner == state.owners.end() ||
        owner->second.epoch != it.epoch || it.term < group->second.primary_term) {
        return {change_status::fenced, 0, "the epoch or the term is over"};
    }
    group->second.primary = it.primary;
    group->second.primary_term = it.term;
    return accepted(it.term);
}

change_result apply_command(registry& state, const activate_preset& it)
{
    preset_record& record = state.preset;
    if (!record.switching || record.switch_index != it.switch_index) {
        return {change_status::fenced, 0, "no such switch is under way"};
    }
    record.switching = false;
    record.in_force = record.pending;
    return accepted(record.version);
}

change_result apply_command(registry& state, const set_session_secret& it)
{
    if (state.session_secret.empty()) {
        state.session_secret = it.secret;
    }
    return accepted(0);
}

change_result apply_command(registry& state, const record_rate_reserve& it)
{
    if (state.rate_reserve_term != it.expected_term) {
        return {change_status::fenced, 0, "another leader has recorded its use of the reserve"};
    }
    state.rate_reserve_term = it.term;
    return accepted(0);
}

change_result apply_command(registry& state, const record_instances& it)
{
    for (const instance_heartbeat& instance : it.changed) {
        state.instances.insert_or_assign(instance.instance, instance);
    }
    for (const std::string& instance : it.removed) {
        state.instances.erase(instance);
    }
    return accepted(0);
}

change_result apply_command(registry& state, const replace_declared& it)
{
    if (it.configuration.version > state.declared.version) {
        state.declared = it.configuration;
    }
    return accepted(state.declared.version);
}

change_result apply_command(registry& state, const patch_declared& it)
{
    // Patches are applied in log order, so only a registry that has diverged has another base
    // version. It must not be used: the process stops, and restarts with a complete registry.
    const bool applied = apply_patch(state.declared, it);
    BALSAMDRIFT_INVARIANT(applied);
    return accepted(state.declared.version);
}

change_result apply_command(registry& state, const mark_leaving& it)
{
    const auto [found, inserted] = state.leaving.try_emplace(it.instance, it.born_ms);
    if (!inserted) {
        found->second = std::max(found->second, it.born_ms);
        return accepted(0);
    }
    state.leaving_order.push_back(it.instance);
    if (state.leaving_order.size() > max_leaving_instances) {
        state.leaving.erase(state.leaving_order.front());
        state.leaving_order.pop_front();
    }
    return accepted(0);
}

change_result apply_command(registry& state, const evacuate_domain& it)
{
    return apply_evacuation(state, it.domain, true);
}

change_result apply_command(registry& state, const restore_domain& it)
{
    return apply_evacuation(state, it.domain, false);
}

change_result apply_command(registry& state, const change_primary& it)
{
    primary_record& record = state.primaries[it.service];
    if (record.epoch != it.expected_epoch) {
        return {change_status::fenced, record.epoch, "the primary changed meanwhile"};
    }
    const bool promoted =
        record.phase == primary_phase::chosen && it.phase == primary_phase::serving;
    std::string predecessor;
    if (it.phase != primary_phase::serving) {
        predecessor = record.phase == primary_phase::serving ? record.instance : record.predecessor;
    }
    record = {.instance = it.instance,
              .phase = it.phase,
              .planned = it.planned,
              .epoch = state.index,
              .generation = record.generation + (promoted ? 1 : 0),
              .predecessor = std::move(predecessor),
              .newest_term = std::max(record.newest_term, it.newest_term),
              .late_promotion = it.late_promotion};
    return accepted(record.epoch);
}

change_result apply_command(registry& state, const record_commit_holders& it)
{
    state.holders[it.service] = it.holders;
    return accepted(0);
}

}  // namespace

bool is_leaving(const registry& state, const std::string& instance, std::int64_t born_ms)
{
    const auto found = state.leaving.find(instance);
    return found != state.leaving.end() && found->second >= born_ms;
}

bool is_evacuated(const registry& state, const std::string& failure_domain)
{
    return state.evacuated_domains.contains(failure_domain);
}

change_result apply(registry& state, std::uint64_t index, const registry_command& command)
{
    state.index = index;
    // The customer shards exist from the first command on.
    for (std::size_t n = 0; state.owners.size() < customer_shard_count && n < customer_shard_count;
         ++n) {
        state.owners.try_emplace(customer_shard_item(n));
    }
    return std::visit([&](const auto& it) { return apply_command(state, it); }, command);
}

std::string encode_command(const registry_command& command)
{
    return compress_if_large(encode_variant(command));
}

std::string command_for_entries(const std::string& data, const declared_configuration& before,
                                const declared_configuration& after)
{
    return before.version == after.version ? data : encode_command(make_patch(before, after));
}

change_result apply_encoded(registry& state, std::uint64_t index, const std::string& data)
{
    auto unpacked = decompress(data);
    if (!succeeded(unpacked)) {
        state.index = index;
        return invalid(failure_of(unpacked).message);
    }
    const auto command = decode_variant<registry_command>(value_of(unpacked));
    if (!succeeded(command)) {
        state.index = index;
        return invalid(failure_of(command).message);
    }
    return apply(state, index, std::get<registry_command>(command));
}

std::uint64_t state_hash(const registry& state)
{
    const std::string bytes = encode(state);
    return XXH64(bytes.data(), bytes.size(), 0);
}

std::string to_string(preset value)
{
    constexpr std::array<const char*, 3> names{"ordinary", "peak", "maintenance"};
    return names.at(static_cast<std::size_t>(value));
}

}  // namespace balsamdrift
