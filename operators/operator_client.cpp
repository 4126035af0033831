#include "operators/operator_client.h"

#include <QEventLoop>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QThread>
#include <memory>

namespace balsamdrift {
namespace {

constexpr milliseconds request_timeout(2000);

/// Pause after all members were tried.
constexpr unsigned long retry_interval_ms = 50;

/// Status of a member that does not lead.
constexpr int http_misdirected_request = 421;

/// Status of a change whose result is not known.
constexpr int http_service_unavailable = 503;

}  // namespace

operator_client::operator_client(operator_client_options options) : options_(std::move(options)) {}

outcome<operator_answer> operator_client::send_request(const std::string& address,
                                                       const std::string& path,
                                                       const std::string* body)
{
    QNetworkRequest request(QUrl(QString::fromStdString("http://" + address + path)));
    request.setRawHeader("Authorization", QByteArray::fromStdString("Bearer " + options_.token));
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    request.setTransferTimeout(static_cast<int>(request_timeout.count()));
    const std::unique_ptr<QNetworkReply> reply(
        body == nullptr ? network_.get(request)
                        : network_.post(request, QByteArray::fromStdString(*body)));
    QEventLoop loop;
    QObject::connect(reply.get(), &QNetworkReply::finished, &loop, &QEventLoop::quit);
    loop.exec();
    const int status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    if (status == 0) {
        return failure{address + ": " + reply->errorString().toStdString()};
    }
    return operator_answer{status,
                           nlohmann::json::parse(reply->readAll().toStdString(), nullptr, false)};
}

outcome<operator_answer> operator_client::change(const nlohmann::json& change)
{
    const std::string body = change.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    const time_point deadline = monotonic_clock::now() + options_.timeout;
    std::string last_error = "no control member is known";
    while (monotonic_clock::now() < deadline) {
        for (const std::string& it : options_.members) {
            auto answer = send_request(it, "/v1/changes", &body);
            if (!succeeded(answer)) {
                last_error = failure_of(answer).message;
                continue;
            }
            const int status = value_of(answer).status;
            if (status != http_misdirected_request && status != http_service_unavailable) {
                return answer;
            }
            last_error = it + ": " + value_of(answer).body.value("detail", "no leader");
        }
        QThread::msleep(retry_interval_ms);
    }
    return failure{"no control member answered: " + last_error};
}

outcome<operator_answer> operator_client::get_from_leader(const std::string& path)
{
    const time_point deadline = monotonic_clock::now() + options_.timeout;
    outcome<operator_answer> last_answer = failure{"no control member answered"};
    while (monotonic_clock::now() < deadline) {
        for (const std::string& it : options_.members) {
            auto status = send_request(it, "/v1/status", nullptr);
            if (!succeeded(status) || !value_of(status).body.is_object()) {
                continue;
            }
            auto answer = send_request(it, path, nullptr);
            if (value_of(status).body.value("leads", false)) {
                return answer;
            }
            last_answer = std::move(answer);
        }
        if (succeeded(last_answer)) {
            return last_answer;
        }
        QThread::msleep(retry_interval_ms);
    }
    return last_answer;
}

outcome<operator_answer> operator_client::get(const std::string& address, const std::string& path)
{
    return send_request(address, path, nullptr);
}

}  // namespace balsamdrift
