#include "callers/http_connection.h"

#include <QPointer>
#include <QThread>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include "base/event_log.h"
#include "base/metrics.h"

namespace balsamdrift {
namespace {

namespace http = boost::beast::http;

/// Most bytes that the socket buffers while a request is being handled; TCP flow control stops the
/// caller beyond that.
constexpr qint64 socket_read_buffer_bytes = qint64{256} * 1024;

http_request to_request(http::request<http::string_body>&& message)
{
    http_request request;
    request.method = std::string(message.method_string());
    const std::string target(message.target());
    const auto query_start = target.find('?');
    request.path = target.substr(0, query_start);
    request.query =
        query_start == std::string::npos ? std::string() : target.substr(query_start + 1);
    for (const auto& field : message) {
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    request.body = std::move(message.body());
    return request;
}

/// HTTP status of the answer to a parse error.
unsigned status_of(const boost::beast::error_code& ec)
{
    if (ec == http::error::body_limit) {
        return 413;
    }
    if (ec == http::error::header_limit) {
        return 431;
    }
    return 400;
}

}  // namespace

http_connection::http_connection(qintptr descriptor, const http_server_options& options,
                                 const http_handler& handler, http_server_counters& counters,
                                 QObject* parent)
    : QObject(parent),
      options_(options),
      handler_(handler),
      counters_(counters),
      last_activity_(monotonic_clock::now())
{
    ++counters_.connections;
    socket_.setSocketDescriptor(descriptor);
    socket_.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    socket_.setReadBufferSize(socket_read_buffer_bytes);
    connect(&socket_, &QTcpSocket::readyRead, this, &http_connection::read_available);
    connect(&socket_, &QTcpSocket::disconnected, this, &QObject::deleteLater);
}

http_connection::~http_connection()
{
    socket_.disconnect(this);
    if (awaiting_answer_) {
        --counters_.requests;
    }
    --counters_.connections;
}

void http_connection::check_timeouts(time_point now)
{
    if (awaiting_answer_ || closing_) {
        return;
    }
    if (request_started_ && now - *request_started_ > options_.request_timeout) {
        refuse(408, "request_timeout", "the request was not whole in time");
    }
    else if (now - last_activity_ > options_.idle_timeout) {
        socket_.abort();
    }
}

void http_connection::read_available()
{
    last_activity_ = monotonic_clock::now();
    // Pipelined requests stay in the socket's bounded buffer while one is being handled.
    if (awaiting_answer_ || closing_) {
        return;
    }
    const QByteArray bytes = socket_.readAll();
    buffer_.append(bytes.constData(), static_cast<std::size_t>(bytes.size()));
    parse_buffered();
}

void http_connection::parse_buffered()
{
    if (buffer_.empty()) {
        return;
    }
    if (!parser_) {
        parser_.emplace();
        parser_->eager(true);
        parser_->body_limit(options_.body_limit);
        parser_->header_limit(static_cast<std::uint32_t>(options_.header_limit));
        request_started_ = monotonic_clock::now();
    }
    boost::beast::error_code ec;
    const std::size_t consumed = parser_->put(boost::asio::buffer(buffer_), ec);
    buffer_.erase(0, consumed);
    if (ec == http::error::need_more) {
        if (buffer_.size() > options_.header_limit) {
            refuse(431, "header_limit", "the header is too large");
        }
        return;
    }
    if (ec) {
        log_event(event_id::caller_request_malformed, {{"reason", ec.message()}});
        refuse(status_of(ec), "malformed_request", ec.message());
        return;
    }
    if (parser_->is_done()) {
        dispatch();
    }
}

void http_connection::dispatch()
{
    auto message = parser_->release();
    parser_.reset();
    request_started_.reset();
    keep_alive_ = message.keep_alive();
    awaiting_answer_ = true;
    ++counters_.requests;
    const std::uint64_t number = ++request_number_;
    QPointer<http_connection> self(this);
    // The answer is posted to the worker's context object, which outlives its connections; the
    // connection itself may be gone by then.
    QObject* const context = parent();
    const http_responder responder([self, number, context](http_response response) {
        const bool same_thread = QThread::currentThread() == context->thread();
        QMetaObject::invokeMethod(
            context,
            [self, number, response = std::move(response)] {
                if (self) {
                    self->deliver(number, response);
                }
            },
            same_thread ? Qt::DirectConnection : Qt::QueuedConnection);
    });
    handler_(to_request(std::move(message)), responder);
}

void http_connection::deliver(std::uint64_t number, const http_response& response)
{
    if (!awaiting_answer_ || number != request_number_) {
        return;
    }
    awaiting_answer_ = false;
    --counters_.requests;
    const bool keep_alive = keep_alive_ && !response.close && !counters_.draining;
    write_response(response, keep_alive);
    if (!keep_alive) {
        close_gracefully();
        return;
    }
    // The next pipelined request is handled from the event loop, to avoid recursion.
    if (!buffer_.empty() || socket_.bytesAvailable() > 0) {
        QMetaObject::invokeMethod(this, &http_connection::read_available, Qt::QueuedConnection);
    }
}

void http_connection::refuse(unsigned status, std::string_view code, std::string_view detail)
{
    count_metric("balsamdrift_refused_requests_total", metric_label("code", code));
    write_response(make_problem(status, code, detail), false);
    close_gracefully();
}

void http_connection::write_response(const http_response& response, bool keep_alive)
{
    http::response<http::string_body> message;
    message.result(response.status);
    message.set(http::field::content_type, response.content_type);
    for (const http_header& it : response.headers) {
        message.set(it.name, it.value);
    }
    message.keep_alive(keep_alive);
    message.body() = response.body;
    message.prepare_payload();
    http::response_serializer<http::string_body> serializer(message);
    boost::beast::error_code ec;
    while (!serializer.is_done() && !ec) {
        serializer.next(ec, [&](boost::beast::error_code&, const auto& buffers) {
            std::size_t n = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                socket_.write(static_cast<const char*>(buffer.data()),
                              static_cast<qint64>(buffer.size()));
                n += buffer.size();
            }
            serializer.consume(n);
        });
    }
}

void http_connection::close_gracefully()
{
    closing_ = true;
    socket_.disconnectFromHost();
}

}  // namespace balsamdrift
