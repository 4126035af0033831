#include "core/registry/declared_patch.h"

namespace balsamdrift {
namespace {

template<class Value>
map_patch<Value> difference(const std::map<std::string, Value>& before,
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
            patch.gone.push_back(name);
        }
    }
    return patch;
}

template<class Value>
void take_difference(std::map<std::string, Value>& state, const map_patch<Value>& patch)
{
    for (const std::string& it : patch.gone) {
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
            .routes = difference(before.routes, after.routes),
            .services = difference(before.services, after.services),
            .customers = difference(before.customers, after.customers),
            .customer_of_key = difference(before.customer_of_key, after.customer_of_key),
            .transaction_idle_timeout = after.transaction_idle_timeout};
}

bool take_patch(declared_configuration& state, const patch_declared& patch)
{
    if (state.version != patch.base_version) {
        return false;
    }
    state.version = patch.version;
    // The document belongs to one version, and only control needs it.
    state.document.clear();
    take_difference(state.routes, patch.routes);
    take_difference(state.services, patch.services);
    take_difference(state.customers, patch.customers);
    take_difference(state.customer_of_key, patch.customer_of_key);
    state.transaction_idle_timeout = patch.transaction_idle_timeout;
    return true;
}

}  // namespace balsamdrift
