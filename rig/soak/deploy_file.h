#pragma once

#include <map>
#include <string>
#include <vector>

namespace balsamdrift::soak {

/// A role of deploy/system.toml.
struct deploy_role {
    std::string name;
    std::string run;
    /// Class of machines that run it: `edge` or `core`.
    std::string on;
    std::vector<std::string> serves;
    std::string template_text;
};

/// The roles by the class of machines that run them. Throws std::exception if the deploy file or a
/// template of it cannot be read.
std::map<std::string, deploy_role> read_deploy_file(const std::string& root);

}  // namespace balsamdrift::soak
