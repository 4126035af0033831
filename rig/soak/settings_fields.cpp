#include "rig/soak/settings_fields.h"

namespace balsamdrift::soak {

namespace {

/// Interval of the instances' heartbeats.
constexpr int heartbeat_ms = 1200;

}  // namespace

nlohmann::json settings_fields(const site_description& site, const machine& it,
                               const std::string& role, const std::string& platform)
{
    const machine_limits& limits = it.is_control ? site.control : site.entry;
    nlohmann::json out{
        {"nodeName", it.name},
        {"role", role},
        {"machineClass", it.is_control ? "core" : "edge"},
        {"serves", nlohmann::json::array({it.is_control ? "control" : "edge"})},
        {"ip", it.ip},
        {"zone", it.zone},
        {"internalPortRange", {first_internal_port, last_internal_port}},
        {"seeds", it.seeds},
        {"bootstrap", it.first_start},
        {"faultCounted", it.is_control},
        {"discovery", "registry"},
        {"entry", "vip"},
        {"heartbeatMs", heartbeat_ms},
        {"contracts", {"base", "drain", "config", "cost", "recover", "sql", "tenants", "quota"}},
        {"config_mode", "highest"},
        {"bounds", site.bounds},
        {"cloudApi",
         {{"address", platform},
          {"ratePerS", 50.0},
          {"duties", nlohmann::json::array({"failover"})},
          {"dutyPerS", 50.0}}},
        {"faultTolerance",
         {{"machines", site.machines_lost_at_once}, {"zones", 0}, {"regions", 0}}},
        {"limits",
         {{"cpuQuota", limits.cpu_share},
          {"cores", 1},
          {"memoryMb", limits.memory_mb},
          {"maxFds", limits.descriptors},
          {"linkMbps", limits.link_mbps},
          {"diskMb", limits.disk_mb}}}};
    for (const zone_description& zone : site.zones) {
        out["zones"][zone.name] = zone.region;
        if (zone.name == it.zone) {
            out["region"] = zone.region;
        }
    }
    if (it.is_control) {
        out["listenAddrs"] = {{"controlPlane", it.service_address.text()}};
        out["dataDir"] = it.folder + "/data";
    }
    else {
        out["listenAddrs"] = {{"frontend", it.service_address.text()},
                              {"readinessAddr", it.readiness_address.text()}};
    }
    return out;
}

}  // namespace balsamdrift::soak
