#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "base/endpoint.h"
#include "base/outcome.h"
#include "base/start_retry.h"
#include "base/time.h"
#include "callers/http_message.h"

namespace balsamdrift {

/// Settings of an HTTP server.
struct http_server_options {
    endpoint listen;
    /// Further addresses that the same handler serves.
    std::vector<endpoint> also_listen;
    /// Number of threads that serve connections, each with its own event loop.
    int threads = 1;
    /// Most bytes of a request's body.
    std::size_t body_limit = std::size_t{1024} * 1024;
    /// Most bytes of a request's headers.
    std::size_t header_limit = std::size_t{16} * 1024;
    /// Longest time from the first byte of a request to its last one.
    duration request_timeout = seconds(10);
    /// A connection without an open request is closed after it received nothing for this long.
    duration idle_timeout = seconds(120);
};

/// Sends the answer to one request, from any thread. Only the first call has an effect; it has none
/// either if the connection is closed already.
class http_responder {
public:
    using deliver_function = std::function<void(http_response)>;

    explicit http_responder(deliver_function deliver) : deliver_(std::move(deliver)) {}

    void send(http_response response) const { deliver_(std::move(response)); }

private:
    deliver_function deliver_;
};

/// Handles one request. Called on the thread of its connection and must not block.
using http_handler = std::function<void(http_request, http_responder)>;

/// An HTTP/1.1 server that uses the sockets of Qt and the parser of Boost.Beast. Pipelined requests
/// of a connection are handled one at a time, so answers keep the order of their requests.
class http_server {
public:
    http_server(http_server_options options, http_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Starts the threads and listens on all addresses. Returns `listen` of the options with the
    /// port in use, which differs if the port given was 0.
    outcome<endpoint> start(const start_retry& retry = {});

    /// Stops accepting connections and closes each open one after its next answer, which carries
    /// `Connection: close`.
    void drain();

    /// Stops accepting connections, closes the open ones and joins the threads.
    void stop();

    /// Number of open connections.
    int open_connections() const;

    /// Number of requests that were passed to the handler and not answered yet.
    int open_requests() const;

private:
    struct implementation;
    std::unique_ptr<implementation> impl_;
};

}  // namespace balsamdrift
