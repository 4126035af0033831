#include "core/registry/declared_patch.h"

namespace balsamdrift {
namespace {

template<class Value>
map_patch<Value> make_map_patch(const std::map<std::string, Value>& before,
                                const std::map<std::string, Value>& after)
{
    map_patch<Value> patch;
    for (const auto& [name, value] : after) {
        const auto it = before.find(name);
        if (it == before.end() || it->second != value) {
            patch.changed.emplace(name, value);
        }
    }
    for (const auto& [name, value] : before) {
        if (!after.contains(name)) {
            patch.removed.push_back(name);
        }
    }
    return patch;
}

template<class Value>
void apply_map_patch(std::map<std::string, Value>& state, const map_patch<Value>& patch)
{
    for (const std::string& it : patch.removed) {
        state.erase(it);
    }
    for (const auto& [name, value] : patch.changed) {
        state.insert_or_assign(name, value);
    }
}

}  // namespace

patch_declared make_patch(const declared_configuration& before, const declared_configuration& after)
{
    return {.base_version = before.version,
            .version = after.version,
            .routes = make_map_patch(before.routes, after.routes),
            .services = make_map_patch(before.services, after.services),
            .customers = make_map_patch(before.customers, after.customers),
            .customer_of_key = make_map_patch(before.customer_of_key, after.customer_of_key),
            .transaction_idle_timeout = after.transaction_idle_timeout};
}

bool apply_patch(declared_configuration& state, const patch_declared& patch)
{
    if (state.version != patch.base_version) {
        return false;
    }
    state.version = patch.version;
    // The document describes the earlier version, and only control needs one.
    state.document.clear();
    apply_map_patch(state.routes, patch.routes);
    apply_map_patch(state.services, patch.services);
    apply_map_patch(state.customers, patch.customers);
    apply_map_patch(state.customer_of_key, patch.customer_of_key);
    state.transaction_idle_timeout = patch.transaction_idle_timeout;
    return true;
}

}  // namespace balsamdrift
