#include "operators/operator_client.h"

#include <QEventLoop>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QThread>
#include <memory>

namespace balsamdrift {
namespace {

constexpr milliseconds exchange_timeout(2000);
constexpr unsigned long pause_ms = 50;
constexpr int misdirected_request = 421;
constexpr int service_unavailable = 503;

}  // namespace

operator_client::operator_client(operator_client_options options) : options_(std::move(options)) {}

outcome<operator_answer> operator_client::exchange(const std::string& address,
                                                   const std::string& path, const std::string* body)
{
    QNetworkRequest request(QUrl(QString::fromStdString("http://" + address + path)));
    request.setRawHeader("Authorization", QByteArray::fromStdString("Bearer " + options_.token));
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    request.setTransferTimeout(static_cast<int>(exchange_timeout.count()));
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
    const time_point give_up = monotonic_clock::now() + options_.timeout;
    std::string last = "no control member is known";
    while (monotonic_clock::now() < give_up) {
        for (const std::string& it : options_.members) {
            auto answer = exchange(it, "/v1/changes", &body);
            if (!succeeded(answer)) {
                last = failure_of(answer).message;
                continue;
            }
            const int status = value_of(answer).status;
            if (status != misdirected_request && status != service_unavailable) {
                return answer;
            }
            last = it + ": " + value_of(answer).body.value("detail", "no leader");
        }
        QThread::msleep(pause_ms);
    }
    return failure{"no control member answered: " + last};
}

outcome<operator_answer> operator_client::get_from_leader(const std::string& path)
{
    const time_point give_up = monotonic_clock::now() + options_.timeout;
    outcome<operator_answer> any = failure{"no control member answered"};
    while (monotonic_clock::now() < give_up) {
        for (const std::string& it : options_.members) {
            auto status = exchange(it, "/v1/status", nullptr);
            if (!succeeded(status) || !value_of(status).body.is_object()) {
                continue;
            }
            auto answer = exchange(it, path, nullptr);
            if (value_of(status).body.value("leads", false)) {
                return answer;
            }
            any = std::move(answer);
        }
        if (succeeded(any)) {
            return any;
        }
        QThread::msleep(pause_ms);
    }
    return any;
}

outcome<operator_answer> operator_client::get(const std::string& address, const std::string& path)
{
    return exchange(address, path, nullptr);
}

}  // namespace balsamdrift
