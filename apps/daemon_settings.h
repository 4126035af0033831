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

/// Settings that both roles share.
struct common_settings {
    std::string name;
    std::string log_file;
    endpoint fleet_listen;
    std::string fleet_advertised;
    std::string fleet_secret;
    std::string operator_token;
};

/// Settings of a control member that coordinates services for the platform.
struct coordination_settings {
    /// Where instances and operators of the platform call.
    http_server_options platform;
    /// Where primaries are promoted.
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
    /// A stop first reports unready for this long, so that the balancer sends callers elsewhere.
    duration drain_notice = seconds(1);
    /// A stop ends whatever is left after this.
    duration drain_limit = seconds(30);
};

/// Settings of an entry that runs statements itself.
struct statement_entry_settings {
    common_settings common;
    statement_entry_options entry;
    stop_options stop;
};

/// Settings of any role.
using daemon_settings = std::variant<control_settings, entry_settings, statement_entry_settings>;

/// Every mistake found in a settings file.
struct settings_problems {
    std::vector<std::string> lines;
};

/// Reads and checks a settings file, and the secrets in the files that it names. Their paths are
/// relative to `secrets_folder`, or to the settings file if that is empty.
std::variant<daemon_settings, settings_problems> read_settings(const std::string& file,
                                                               const std::string& secrets_folder);

}  // namespace balsamdrift
