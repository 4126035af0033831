#include "rig/soak/site_description.h"

#include <yaml-cpp/yaml.h>

namespace balsamdrift::soak {

namespace {

machine_limits read_limits(const YAML::Node& node)
{
    return {.descriptors = node["descriptors"].as<int>(),
            .memory_mb = node["memory_mb"].as<int>(),
            .cpu_share = node["cpu_share"].as<double>(),
            .link_mbps = node["link_mbps"].as<double>(),
            .disk_mb = node["disk_mb"].as<int>(0)};
}

nlohmann::json read_scalar(const YAML::Node& node)
{
    try {
        return node.as<int>();
    }
    catch (const YAML::BadConversion&) {
        try {
            return node.as<double>();
        }
        catch (const YAML::BadConversion&) {
            return node.as<bool>();
        }
    }
}

}  // namespace

site_description read_site(const std::string& path)
{
    const YAML::Node in = YAML::LoadFile(path);
    site_description out;
    out.name = in["name"].as<std::string>();
    for (const YAML::Node& it : in["zones"]) {
        out.zones.push_back({.name = it["name"].as<std::string>(),
                             .region = it["region"].as<std::string>(),
                             .entries = it["entries"].as<int>(),
                             .controls = it["controls"].as<int>()});
    }
    out.entry = read_limits(in["entry"]);
    out.control = read_limits(in["control"]);
    const YAML::Node& databases = in["databases"];
    out.services = databases["services"].as<int>();
    out.instances = databases["instances"].as<int>();
    out.slots = databases["slots"].as<int>();
    out.connections = databases["connections"].as<int>();
    out.replica_lag = milliseconds(databases["replica_lag_ms"].as<int>());
    out.promotion = milliseconds(databases["promotion_ms"].as<int>());
    out.work = milliseconds(databases["work_ms"].as<int>());
    out.sessions = in["sessions"].as<int>();
    out.operations_per_second = in["operations_per_second"].as<double>();
    out.tenants = in["tenants"].as<int>();
    out.lead = seconds(in["lead_s"].as<int>());
    out.machines_lost_at_once = in["machines_lost_at_once"].as<int>();
    for (const auto& it : in["bounds"]) {
        out.bounds[it.first.as<std::string>()] = read_scalar(it.second);
    }
    return out;
}

}  // namespace balsamdrift::soak
