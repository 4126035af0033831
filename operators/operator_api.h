#pragma once

#include <string>

#include "callers/http_server.h"
#include "control/control_service.h"

namespace balsamdrift {

/// The HTTP API of a control member for operators: changes, status, configuration, timeline,
/// metrics and health probes. All but metrics and probes require the operator token.
class operator_api {
public:
    operator_api(control_service& control, std::string operator_token);

    /// Handles one request. The response to a change is sent once its result is known.
    void handle(const http_request& request, const http_responder& responder);

private:
    /// Proposes the change in the request's body.
    void apply_change(const http_request& request, const http_responder& responder);
    http_response status() const;
    http_response configuration() const;

    control_service& control_;
    std::string operator_token_;
};

}  // namespace balsamdrift
