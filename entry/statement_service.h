#pragma once

#include "callers/http_server.h"
#include "callers/statement_request.h"
#include "core/sessions/session_token.h"
#include "entry/entry_view.h"
#include "entry/token_service.h"
#include "entry/work_router.h"

namespace balsamdrift {

/// Serves a caller's request from its key to its answer: who is it, may it, is it within its rate,
/// run it, return the session's new token.
class statement_service {
public:
    statement_service(entry_view& view, token_service& tokens, work_router& router);

    /// Handles one request under /v1/databases/.
    void handle(const http_request& request, const http_responder& responder);

    /// Takes no new statements from now on.
    void drain() { draining_ = true; }

private:
    void run(statement_request parsed, session_token session, time_point deadline,
             const http_responder& responder);

    entry_view& view_;
    token_service& tokens_;
    work_router& router_;
    std::atomic<bool> draining_ = false;
};

}  // namespace balsamdrift
