#include "rig/soak/template_renderer.h"

#include <stdexcept>
#include <vector>

namespace balsamdrift::soak {

namespace {

/// One level of sections: the current entry, its key and whether more follow.
struct scope {
    nlohmann::json value;
    std::string key;
    bool last = true;
};

nlohmann::json look_in(const nlohmann::json& from, const std::string& name)
{
    nlohmann::json at = from;
    std::size_t begin = 0;
    while (begin <= name.size()) {
        const auto end = std::min(name.find('.', begin), name.size());
        const std::string part = name.substr(begin, end - begin);
        nlohmann::json next;
        if (at.is_object() && at.contains(part)) {
            next = at[part];
        }
        else if (at.is_array() && !part.empty() &&
                 part.find_first_not_of("0123456789") == std::string::npos &&
                 std::stoul(part) < at.size()) {
            next = at[std::stoul(part)];
        }
        else {
            return nullptr;
        }
        at = std::move(next);
        begin = end + 1;
    }
    return at;
}

nlohmann::json look_up(const std::vector<scope>& scopes, const std::string& name)
{
    if (name == ".") {
        return scopes.back().value;
    }
    for (auto it = scopes.rbegin(); it != scopes.rend(); ++it) {
        nlohmann::json found = look_in(it->value, name);
        if (!found.is_null()) {
            return found;
        }
    }
    return nullptr;
}

std::string plain_text(const nlohmann::json& value)
{
    if (value.is_null()) {
        return "";
    }
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (value.is_array()) {
        std::string out;
        for (const auto& it : value) {
            out += (out.empty() ? "" : ",") + plain_text(it);
        }
        return out;
    }
    return value.dump();
}

std::string value_text(const std::vector<scope>& scopes, std::string name)
{
    if (name == "@") {
        return scopes.back().key;
    }
    if (name == ",") {
        return scopes.back().last ? "" : ",";
    }
    const auto bar = name.find("|json");
    if (bar != std::string::npos) {
        name.resize(bar);
        return look_up(scopes, name).dump();
    }
    return plain_text(look_up(scopes, name));
}

bool is_shown(const nlohmann::json& value)
{
    return !value.is_null() && value != false && !(value.is_structured() && value.empty());
}

std::string render(const std::string& text, std::vector<scope>& scopes);

std::string render_section(const std::string& body, const nlohmann::json& value,
                           std::vector<scope>& scopes)
{
    std::string out;
    if (!value.is_structured()) {
        scopes.push_back({.value = value, .key = ""});
        out = render(body, scopes);
        scopes.pop_back();
        return out;
    }
    std::size_t n = 0;
    for (const auto& [key, entry] : value.items()) {
        scopes.push_back({.value = entry, .key = key, .last = ++n == value.size()});
        out += render(body, scopes);
        scopes.pop_back();
    }
    return out;
}

/// Start of the tag that closes the section of this name, from `at` on.
std::size_t find_end(const std::string& text, const std::string& name, std::size_t at)
{
    int depth = 1;
    while (true) {
        at = text.find("{{", at);
        const auto end = text.find("}}", at);
        if (at == std::string::npos || end == std::string::npos) {
            throw std::invalid_argument("section without an end: " + name);
        }
        const std::string tag = text.substr(at + 2, end - at - 2);
        if (tag == "#" + name || tag == "^" + name) {
            ++depth;
        }
        if (tag == "/" + name && --depth == 0) {
            return at;
        }
        at = end + 2;
    }
}

std::string render(const std::string& text, std::vector<scope>& scopes)
{
    std::string out;
    std::size_t at = 0;
    while (true) {
        const auto begin = text.find("{{", at);
        out += text.substr(at, begin - at);
        if (begin == std::string::npos) {
            return out;
        }
        const auto end = text.find("}}", begin);
        if (end == std::string::npos) {
            throw std::invalid_argument("placeholder without an end");
        }
        const std::string tag = text.substr(begin + 2, end - begin - 2);
        at = end + 2;
        if (tag.empty() || (tag[0] != '#' && tag[0] != '^')) {
            out += value_text(scopes, tag);
            continue;
        }
        const std::string name = tag.substr(1);
        const auto close = find_end(text, name, at);
        const std::string body = text.substr(at, close - at);
        const nlohmann::json value = look_up(scopes, name);
        if (tag[0] == '#' && is_shown(value)) {
            out += render_section(body, value, scopes);
        }
        if (tag[0] == '^' && !is_shown(value)) {
            out += render(body, scopes);
        }
        at = close + name.size() + 5;
    }
}

}  // namespace

std::string render_template(const std::string& text, const nlohmann::json& fields)
{
    std::vector<scope> scopes{{.value = fields, .key = ""}};
    return render(text, scopes);
}

}  // namespace balsamdrift::soak
