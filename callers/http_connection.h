#pragma once

#include <QObject>
#include <QTcpSocket>
#include <atomic>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <optional>

#include "callers/http_server.h"

namespace balsamdrift {

/// State that the connections of one server share.
struct http_server_counters {
    /// Connections that are open.
    std::atomic<int> connections = 0;
    /// Requests that wait for their answer.
    std::atomic<int> requests = 0;
    /// True once the server closes each connection after its next answer.
    std::atomic<bool> draining = false;
};

/// A caller's connection. Used only on the thread of its event loop.
class http_connection : public QObject {
public:
    http_connection(qintptr descriptor, const http_server_options& options,
                    const http_handler& handler, http_server_counters& counters, QObject* parent);
    ~http_connection() override;

    /// Refuses a request that has not arrived completely within the request timeout and closes a
    /// connection that was idle for the idle timeout. Must be called periodically.
    void check_timeouts(time_point now);

    /// Sends the answer to the request with this number, unless that request was answered already.
    void deliver(std::uint64_t number, const http_response& response);

private:
    using parser_type = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void read_available();
    void parse_buffered();
    void dispatch();
    void refuse(unsigned status, std::string_view code, std::string_view detail);
    void write_response(const http_response& response, bool keep_alive);
    void close_gracefully();

    const http_server_options& options_;
    const http_handler& handler_;
    http_server_counters& counters_;
    QTcpSocket socket_;
    std::string buffer_;
    std::optional<parser_type> parser_;
    /// Number of the newest request, and whether it still waits for its answer.
    std::uint64_t request_number_ = 0;
    bool awaiting_answer_ = false;
    /// Whether the newest request allows further ones on the connection.
    bool keep_alive_ = true;
    bool closing_ = false;
    time_point last_activity_;
    /// When the request that is being received began; absent between requests.
    std::optional<time_point> request_started_;
};

}  // namespace balsamdrift
