#include "callers/http_message.h"

#include <QUrlQuery>
#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>

namespace balsamdrift {
namespace {

bool equal_ignoring_case(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

}  // namespace

std::string_view header_value(const http_request& request, std::string_view name)
{
    for (const http_header& it : request.headers) {
        if (equal_ignoring_case(it.name, name)) {
            return it.value;
        }
    }
    return {};
}

std::string query_parameter(const http_request& request, std::string_view name)
{
    const QUrlQuery query(QString::fromStdString(request.query));
    const QString key = QString::fromUtf8(name.data(), static_cast<qsizetype>(name.size()));
    return query.queryItemValue(key, QUrl::FullyDecoded).toStdString();
}

http_response make_problem(unsigned status, std::string_view code, std::string_view detail)
{
    const nlohmann::json body{{"type", "about:blank"},
                              {"status", status},
                              {"code", code},
                              {"detail", detail},
                              {"outcome", "not_run"}};
    return {.status = status,
            .content_type = "application/problem+json",
            .body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

}  // namespace balsamdrift
