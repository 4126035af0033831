#pragma once

#include <QObject>
#include <QTcpSocket>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/endpoint.h"

namespace balsamdrift::rig {

/// The answer to a request of the load.
struct load_answer {
    /// HTTP status, or 0 if the connection failed or the request was aborted.
    int status = 0;
    std::string body;
    /// The session token that came with the answer; empty if none did.
    std::string session;
};

/// A caller's connection to an entry. Does not block, but needs an event loop. Handles one request
/// at a time.
class load_connection : public QObject {
public:
    using answer_handler = std::function<void(load_answer)>;

    explicit load_connection(const endpoint& entry);

    /// Sends a complete HTTP request. The handler is called once.
    void send(const std::string& request, answer_handler on_answer);

    /// Whether the connection can send another request.
    bool is_usable() const { return usable_; }

    /// Whether a request awaits its answer.
    bool is_waiting() const { return on_answer_ != nullptr; }

    /// Ends a request that awaits its answer with status 0. The connection is not usable after it.
    void abort();

private:
    using parser_type = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void on_readable();
    void finish(load_answer answer);

    QTcpSocket socket_;
    /// The request that is sent once the connection is established.
    std::string unsent_request_;
    std::string buffer_;
    std::optional<parser_type> parser_;
    answer_handler on_answer_;
    bool usable_ = true;
};

}  // namespace balsamdrift::rig
