#include "rig/client/caller.h"

#include <QHostAddress>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "base/endpoint.h"

namespace balsamdrift::rig {
namespace {

namespace http = boost::beast::http;

constexpr int connect_timeout_ms = 2000;

/// Time beyond a statement's timeout for which the caller still waits for the answer.
constexpr milliseconds answer_timeout_margin(2000);

}  // namespace

void caller::set_address(const std::string& address)
{
    address_ = address;
    socket_.reset();
}

caller_answer caller::statement(const std::string& group, const std::string& sql,
                                const nlohmann::json& params, const statement_options& options)
{
    const nlohmann::json body{{"sql", sql}, {"params", params}, {"access", options.access}};
    std::vector<http_header> headers{
        {"Balsamdrift-Timeout", milliseconds_text(options.timeout) + "ms"}};
    if (!options.idempotency_key.empty()) {
        headers.push_back({"Idempotency-Key", options.idempotency_key});
    }
    if (!options.max_age.empty()) {
        headers.push_back({"Balsamdrift-Max-Age", options.max_age});
    }
    return post("/v1/databases/" + group + "/statements",
                body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), headers,
                options.timeout + answer_timeout_margin);
}

caller_answer caller::read(const std::string& group, const std::string& sql,
                           const nlohmann::json& params)
{
    return statement(group, sql, params, {.access = "read"});
}

caller_answer caller::post(const std::string& path, const std::string& body,
                           const std::vector<http_header>& headers, duration limit)
{
    std::string request = "POST " + path + " HTTP/1.1\r\nHost: " + address_ +
                          "\r\nAuthorization: Bearer " + key_ +
                          "\r\nContent-Type: application/json\r\n";
    if (!session_.empty()) {
        request += "Balsamdrift-Session: " + session_ + "\r\n";
    }
    for (const http_header& it : headers) {
        request += it.name + ": " + it.value + "\r\n";
    }
    request += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    return exchange(request, limit);
}

caller_answer caller::get(const std::string& path)
{
    return exchange("GET " + path + " HTTP/1.1\r\nHost: " + address_ + "\r\n\r\n",
                    answer_timeout_margin);
}

caller_answer caller::exchange(const std::string& request, duration limit)
{
    if (!socket_ || socket_->state() != QAbstractSocket::ConnectedState) {
        auto point = parse_endpoint(address_);
        socket_ = std::make_unique<QTcpSocket>();
        socket_->connectToHost(QHostAddress(QString::fromStdString(value_of(point).address)),
                               value_of(point).port);
        if (!socket_->waitForConnected(connect_timeout_ms)) {
            socket_.reset();
            return {};
        }
        socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    }
    socket_->write(QByteArray::fromStdString(request));
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    parser.body_limit(std::uint64_t{256} * 1024 * 1024);
    const time_point deadline = monotonic_clock::now() + limit;
    std::string buffer;
    while (!parser.is_done()) {
        const auto remaining_ms = to_milliseconds(deadline - monotonic_clock::now()).count();
        const bool readable =
            socket_->bytesAvailable() > 0 ||
            (remaining_ms > 0 && socket_->waitForReadyRead(static_cast<int>(remaining_ms)));
        if (!readable) {
            socket_.reset();
            return {};
        }
        buffer += socket_->readAll().toStdString();
        boost::beast::error_code ec;
        buffer.erase(0, parser.put(boost::asio::buffer(buffer), ec));
        if (ec && ec != http::error::need_more) {
            socket_.reset();
            return {};
        }
    }
    const auto message = parser.release();
    caller_answer answer;
    answer.status = static_cast<int>(message.result_int());
    answer.body = nlohmann::json::parse(message.body(), nullptr, false);
    answer.session = std::string(message["Balsamdrift-Session"]);
    if (!answer.session.empty()) {
        session_ = answer.session;
    }
    const std::string retry_after(message["Retry-After"]);
    answer.retry_after_seconds = retry_after.empty() ? 0 : std::stoi(retry_after);
    if (!message.keep_alive()) {
        socket_.reset();
    }
    return answer;
}

}  // namespace balsamdrift::rig
