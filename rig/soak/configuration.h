#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamdrift::soak {

/// A route of the operator's configuration.
struct route {
    std::string host;
    std::string kind = "primary";
    std::string service;
    int timeout_ms = 1000;
    int staleness_ms = 2500;
};

/// A tenant of the operator's configuration.
struct tenant {
    std::string name;
    std::vector<std::string> keys;
    int rate = 5000;
};

/// A complete configuration as the operator sends it.
struct configuration {
    int version = 0;
    std::vector<route> routes;
    std::vector<std::string> services;
    int connections = 20;
    std::vector<tenant> tenants;
};

nlohmann::json to_json(const configuration& conf);

/// Where each database goes and whose each key is.
struct configuration_index {
    std::unordered_map<std::string, std::string> service_of;
    std::unordered_map<std::string, std::string> tenant_of;
};

configuration_index make_index(const configuration& conf);

/// True if what a member read back has the same routes, services, keys and limits.
bool same_content(const nlohmann::json& sent, const nlohmann::json& read);

}  // namespace balsamdrift::soak
