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

/// An answer as the load tool needs it; status 0 when the connection broke.
struct load_answer {
    int status = 0;
    std::string body;
    std::string session;
};

/// A caller's connection that is driven by the event loop; one request at a time.
class load_connection : public QObject {
public:
    using answer_handler = std::function<void(load_answer)>;

    explicit load_connection(const endpoint& entry);

    /// Sends a whole HTTP request; the handler is called once.
    void send(const std::string& request, answer_handler on_answer);

    /// True when the connection can take the next request.
    bool is_usable() const { return usable_; }

    /// True while a request is under way.
    bool is_waiting() const { return on_answer_ != nullptr; }

    /// Breaks off the request under way, which ends with status 0.
    void abort();

private:
    using parser_type = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void on_readable();
    void finish(load_answer answer);

    QTcpSocket socket_;
    std::string unsent_;
    std::string buffer_;
    std::optional<parser_type> parser_;
    answer_handler on_answer_;
    bool usable_ = true;
};

}  // namespace balsamdrift::rig
