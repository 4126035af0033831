#include "rig/soak/deploy_file.h"

#include <fstream>
#include <iterator>
#include <stdexcept>
#include <toml++/toml.h>

namespace balsamdrift::soak {

namespace {

std::string read_text(const std::string& path)
{
    std::ifstream in(path);
    if (!in) {
        throw std::runtime_error("cannot read " + path);
    }
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

}  // namespace

std::map<std::string, deploy_role> read_deploy_file(const std::string& root)
{
    const toml::table file = toml::parse_file(root + "/deploy/system.toml");
    std::map<std::string, deploy_role> out;
    const toml::table* roles = file["roles"].as_table();
    if (roles == nullptr) {
        throw std::runtime_error("deploy/system.toml has no roles");
    }
    for (const auto& [name, node] : *roles) {
        const toml::table& in = *node.as_table();
        deploy_role it{.name = std::string(name.str()),
                       .run = in["run"].value_or(std::string()),
                       .on = in["on"].value_or(std::string())};
        if (const toml::array* serves = in["serves"].as_array()) {
            for (const auto& served : *serves) {
                it.serves.push_back(served.value_or(std::string()));
            }
        }
        it.template_text = read_text(root + "/" + in["template"].value_or(std::string()));
        out[it.on] = std::move(it);
    }
    return out;
}

}  // namespace balsamdrift::soak
