#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/endpoint.h"
#include "base/outcome.h"
#include "base/time.h"
#include "callers/http_server.h"
#include "control/control_options.h"
#include "entry/entry_service.h"
#include "entry/statement_entry.h"
#include "entry/stop_step.h"

namespace balsamdrift {

/// Settings that all roles share.
struct common_settings {
    std::string name;
    std::string log_file;
    endpoint fleet_listen;
    /// Address at which other processes reach this one; empty for the address it listens on.
    std::string fleet_advertised;
    std::string fleet_secret;
    std::string operator_token;
    /// A start waits this long for addresses and threads that another process may still hold.
    duration start_limit = seconds(30);
};

/// Settings of a control member that coordinates services for the platform.
struct coordination_settings {
    /// Server for the requests of instances and of operators of the platform.
    http_server_options platform;
    /// Address of the platform's promotion service.
    endpoint promotions;
};

/// Settings of a control member.
struct control_settings {
    common_settings common;
    http_server_options operators;
    control_options control;
    std::optional<coordination_settings> coordination;
};

/// Settings of an entry.
struct entry_settings {
    common_settings common;
    entry_options entry;
    /// After a stop request the entry reports not ready but still serves for this long, so that the
    /// load balancer sends new callers elsewhere.
    duration drain_notice = seconds(1);
    /// The process exits this long after a stop request, even if requests are still open.
    duration drain_limit = seconds(30);
};

/// Settings of an entry that serves callers in the platform's statement protocol.
struct statement_entry_settings {
    common_settings common;
    statement_entry_options entry;
    stop_options stop;
};

/// Settings of any role.
using daemon_settings = std::variant<control_settings, entry_settings, statement_entry_settings>;

/// All problems found in a settings file.
struct settings_problems {
    std::vector<std::string> lines;
};

/// Reads and checks a settings file and the secret files that it names. Relative paths of secret
/// files start at `secrets_folder`, or at the folder of the settings file if it is empty.
std::variant<daemon_settings, settings_problems> read_settings(const std::string& file,
                                                               const std::string& secrets_folder);

}  // namespace balsamdrift
