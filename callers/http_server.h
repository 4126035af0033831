#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "base/endpoint.h"
#include "base/outcome.h"
#include "base/time.h"
#include "callers/http_message.h"

namespace balsamdrift {

/// Settings of an HTTP server.
struct http_server_options {
    endpoint listen;
    /// Further addresses that the same handler serves.
    std::vector<endpoint> also_listen;
    /// Threads that serve connections, each with its own event loop.
    int threads = 1;
    std::size_t body_limit = std::size_t{1024} * 1024;
    std::size_t header_limit = std::size_t{16} * 1024;
    /// A request must be whole this long after its first byte.
    duration request_timeout = seconds(10);
    /// A connection without a request is closed after this.
    duration idle_timeout = seconds(120);
};

/// Sends the answer to one request, from any thread. Only the first call has an effect, and none
/// has once the caller left.
class http_responder {
public:
    using deliver_function = std::function<void(http_response)>;

    explicit http_responder(deliver_function deliver) : deliver_(std::move(deliver)) {}

    /// Delivers the answer.
    void send(http_response response) const { deliver_(std::move(response)); }

private:
    deliver_function deliver_;
};

/// Handles one request; called on the thread of its connection and must not block.
using http_handler = std::function<void(http_request, http_responder)>;

/// An HTTP/1.1 server on Qt's sockets with the parser of Boost.Beast. Requests of one connection
/// are answered one after the other, so a pipelined answer always belongs to its request.
class http_server {
public:
    http_server(http_server_options options, http_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Starts to listen. Gives the address in use.
    outcome<endpoint> start();

    /// Stops accepting connections and tells callers on open ones to go elsewhere.
    void drain();

    /// Closes all connections and ends the threads.
    void stop();

    /// Connections that are open now.
    int open_connections() const;

    /// Requests that were handed to the handler and not answered yet.
    int open_requests() const;

private:
    struct implementation;
    std::unique_ptr<implementation> impl_;
};

}  // namespace balsamdrift
