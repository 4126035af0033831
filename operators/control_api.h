#pragma once

#include <string>

#include "callers/http_server.h"
#include "control/control_service.h"

namespace balsamdrift {

/// The operator API of a control member: changes, status, time line and probes.
class control_api {
public:
    control_api(control_service& control, std::string operator_token);

    /// Handles one request.
    void handle(const http_request& request, const http_responder& responder);

private:
    void change(const http_request& request, const http_responder& responder);
    http_response status() const;
    http_response configuration() const;

    control_service& control_;
    std::string token_;
};

}  // namespace balsamdrift
