#pragma once

#include "callers/http_server.h"
#include "callers/statement_request.h"
#include "core/sessions/session_token.h"
#include "entry/entry_view.h"
#include "entry/token_service.h"
#include "entry/work_router.h"

namespace balsamdrift {

/// Handles callers' requests from start to end: authenticates the key, checks the grant of the
/// group and the customer's rate, runs the request and returns the session's new token.
class statement_service {
public:
    statement_service(entry_view& view, token_service& tokens, work_router& router);

    /// Handles one request under /v1/databases/.
    void handle(const http_request& request, const http_responder& responder);

    /// Refuses new requests from now on, except those of open transactions.
    void drain() { draining_ = true; }

private:
    void run(statement_request statement, session_token session, time_point deadline,
             const http_responder& responder);

    entry_view& view_;
    token_service& tokens_;
    work_router& router_;
    std::atomic<bool> draining_ = false;
};

}  // namespace balsamdrift
