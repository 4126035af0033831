#include "operators/timeline_json.h"

#include <openssl/crypto.h>

#include <cstdlib>
#include <nlohmann/json.hpp>

#include "base/event_log.h"

namespace balsamdrift {

http_response make_timeline_response(const http_request& request)
{
    const std::uint64_t since =
        std::strtoull(query_parameter(request, "since").c_str(), nullptr, 10);
    nlohmann::json rows = nlohmann::json::array();
    for (const timeline_event& it : timeline_since(since)) {
        nlohmann::json fields = nlohmann::json::object();
        for (const event_field& field : it.fields) {
            fields[std::string(field.name)] = field.value;
        }
        rows.push_back({{"stamp", it.stamp},
                        {"process", it.process},
                        {"event", static_cast<unsigned>(it.id)},
                        {"name", describe(it.id).name},
                        {"severity", static_cast<int>(describe(it.id).severity)},
                        {"fields", fields}});
    }
    return {.body = nlohmann::json{{"events", rows}}.dump(
                -1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

bool has_operator_token(const http_request& request, const std::string& token)
{
    const std::string expected = "Bearer " + token;
    const std::string_view given = header_value(request, "Authorization");
    return !token.empty() && given.size() == expected.size() &&
           CRYPTO_memcmp(given.data(), expected.data(), expected.size()) == 0;
}

}  // namespace balsamdrift
