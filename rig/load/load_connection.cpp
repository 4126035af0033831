#include "rig/load/load_connection.h"

#include <QHostAddress>

namespace balsamdrift::rig {
namespace {

namespace http = boost::beast::http;
constexpr std::uint64_t max_answer_bytes = std::uint64_t{64} * 1024 * 1024;

}  // namespace

load_connection::load_connection(const endpoint& entry)
{
    socket_.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    connect(&socket_, &QTcpSocket::connected, this, [this] {
        socket_.write(QByteArray::fromStdString(std::exchange(unsent_request_, {})));
    });
    connect(&socket_, &QTcpSocket::readyRead, this, &load_connection::on_readable);
    connect(&socket_, &QTcpSocket::disconnected, this, [this] { abort(); });
    connect(&socket_, &QTcpSocket::errorOccurred, this, [this] { abort(); });
    socket_.connectToHost(QHostAddress(QString::fromStdString(entry.address)), entry.port);
}

void load_connection::send(const std::string& request, answer_handler on_answer)
{
    on_answer_ = std::move(on_answer);
    parser_.emplace();
    parser_->eager(true);
    parser_->body_limit(max_answer_bytes);
    if (socket_.state() == QAbstractSocket::ConnectedState) {
        socket_.write(QByteArray::fromStdString(request));
    }
    else {
        unsent_request_ = request;
    }
}

void load_connection::abort()
{
    usable_ = false;
    finish({});
}

void load_connection::on_readable()
{
    buffer_ += socket_.readAll().toStdString();
    if (!parser_) {
        return;
    }
    boost::beast::error_code ec;
    buffer_.erase(0, parser_->put(boost::asio::buffer(buffer_), ec));
    if (ec && ec != http::error::need_more) {
        abort();
        return;
    }
    if (parser_->is_done()) {
        auto message = parser_->release();
        parser_.reset();
        usable_ = usable_ && message.keep_alive();
        finish({static_cast<int>(message.result_int()), std::move(message.body()),
                std::string(message["Balsamdrift-Session"])});
    }
}

void load_connection::finish(load_answer answer)
{
    if (on_answer_) {
        std::exchange(on_answer_, nullptr)(std::move(answer));
    }
}

}  // namespace balsamdrift::rig
