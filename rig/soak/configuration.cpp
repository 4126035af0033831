#include "rig/soak/configuration.h"

#include <algorithm>

namespace balsamdrift::soak {

nlohmann::json to_json(const configuration& conf)
{
    nlohmann::json out{{"version", conf.version},
                       {"routes", nlohmann::json::array()},
                       {"services", nlohmann::json::array()},
                       {"tenants", nlohmann::json::array()},
                       {"limits",
                        {{"maxHeaderBytes", 16384},
                         {"maxBodyBytes", 262144},
                         {"headerTimeoutMs", 3000},
                         {"idleTimeoutMs", 15000},
                         {"txIdleMs", 3000}}}};
    for (const route& it : conf.routes) {
        nlohmann::json row{{"name", "r-" + it.host},
                           {"host", it.host},
                           {"pathPrefix", "/"},
                           {"kind", it.kind},
                           {"timeoutMs", it.timeout_ms},
                           {"targetLatencyMs", 800},
                           {"priority", 2},
                           {"service", it.service},
                           {"maxAttempts", 2},
                           {"public", false}};
        if (it.kind != "primary") {
            row["maxStalenessMs"] = it.staleness_ms;
        }
        out["routes"].push_back(row);
    }
    for (const std::string& it : conf.services) {
        out["services"].push_back({{"name", it},
                                   {"healthPath", "/healthz"},
                                   {"maxConns", conf.connections},
                                   {"protocol", "h1"},
                                   {"tls", false},
                                   {"syncReplicas", 0}});
    }
    for (const tenant& it : conf.tenants) {
        out["tenants"].push_back({{"name", it.name},
                                  {"apiKeys", it.keys},
                                  {"priority", 1},
                                  {"ratePerS", it.rate},
                                  {"burst", it.rate}});
    }
    return out;
}

configuration_index make_index(const configuration& conf)
{
    configuration_index out;
    for (const route& it : conf.routes) {
        out.service_of[it.host] = it.service;
    }
    for (const tenant& it : conf.tenants) {
        for (const std::string& key : it.keys) {
            out.tenant_of[key] = it.name;
        }
    }
    return out;
}

bool same_content(const nlohmann::json& sent, const nlohmann::json& read)
{
    const auto sorted = [](nlohmann::json rows) {
        std::sort(rows.begin(), rows.end(), [](const auto& a, const auto& b) {
            return a.value("name", "") < b.value("name", "");
        });
        for (auto& row : rows) {
            if (row.contains("apiKeys")) {
                std::sort(row["apiKeys"].begin(), row["apiKeys"].end());
            }
        }
        return rows;
    };
    for (const char* table : {"routes", "services", "tenants"}) {
        if (!read.contains(table) || !read[table].is_array()) {
            return false;
        }
        const nlohmann::json a = sorted(sent[table]);
        const nlohmann::json b = sorted(read[table]);
        if (a.size() != b.size()) {
            return false;
        }
        for (std::size_t n = 0; n < a.size(); ++n) {
            for (const auto& [name, value] : a[n].items()) {
                if (b[n].value(name, nlohmann::json()) != value) {
                    return false;
                }
            }
        }
    }
    return sent["version"] == read.value("version", nlohmann::json());
}

}  // namespace balsamdrift::soak
