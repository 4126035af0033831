#include "operators/change_json.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "base/codec.h"
#include "core/registry/registry.h"

namespace balsamdrift {
namespace {

using nlohmann::json;

constexpr std::size_t max_change_id_length = 100;

/// Reads members of a JSON object and keeps a description of the first problem, such as a member
/// that is missing or has a wrong type.
class member_reader {
public:
    explicit member_reader(const json& object) : object_(object) {}

    std::string text(const char* name)
    {
        const auto it = object_.find(name);
        if (it == object_.end() || !it->is_string()) {
            set_problem(std::string("'") + name + "' must be text");
            return {};
        }
        return it->get<std::string>();
    }

    double number(const char* name)
    {
        const auto it = object_.find(name);
        if (it == object_.end() || !it->is_number()) {
            set_problem(std::string("'") + name + "' must be a number");
            return 0;
        }
        return it->get<double>();
    }

    /// The first problem; empty if there is none.
    const std::string& problem() const { return problem_; }

    void set_problem(const std::string& problem)
    {
        if (problem_.empty()) {
            problem_ = problem;
        }
    }

private:
    const json& object_;
    std::string problem_;
};

preset read_preset(member_reader& in)
{
    const std::string name = in.text("preset");
    for (const preset it : {preset::ordinary, preset::peak, preset::maintenance}) {
        if (to_string(it) == name) {
            return it;
        }
    }
    in.set_problem("'preset' must be ordinary, peak or maintenance");
    return preset::ordinary;
}

acknowledgement read_ack(member_reader& in)
{
    const std::string name = in.text("ack");
    if (name != "replicated" && name != "primary") {
        in.set_problem("'ack' must be replicated or primary");
    }
    return name == "primary" ? acknowledgement::primary : acknowledgement::replicated;
}

/// Reads the members of one kind of change. Returns nothing if the kind is not known; problems with
/// members are left in `in`.
std::optional<change_body> read_body(const std::string& kind, member_reader& in)
{
    if (kind == "put_customer") {
        return put_customer{in.text("customer"), in.number("rate"), in.number("burst")};
    }
    if (kind == "remove_customer") {
        return remove_customer{in.text("customer")};
    }
    if (kind == "give_key") {
        return give_key{in.text("customer"), in.text("key_id"), in.text("key_hash")};
    }
    if (kind == "withdraw_key") {
        return withdraw_key{in.text("key_id")};
    }
    if (kind == "put_group") {
        return put_group{in.text("group"), static_cast<int>(in.number("instances")),
                         static_cast<int>(in.number("connections")),
                         static_cast<int>(in.number("slots")), read_ack(in)};
    }
    if (kind == "grant_group") {
        return grant_group{in.text("customer"), in.text("group")};
    }
    if (kind == "revoke_group") {
        return revoke_group{in.text("customer"), in.text("group")};
    }
    if (kind == "switch_preset") {
        return switch_preset{read_preset(in)};
    }
    if (kind == "evacuate_domain") {
        return evacuate_domain{in.text("domain")};
    }
    if (kind == "restore_domain") {
        return restore_domain{in.text("domain")};
    }
    return std::nullopt;
}

}  // namespace

outcome<operator_change> parse_change(const std::string& text)
{
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object()) {
        return failure{"the body must be a JSON object"};
    }
    member_reader in(document);
    operator_change change{.operator_name = in.text("operator"), .change_id = in.text("change_id")};
    if (change.change_id.size() > max_change_id_length || change.change_id.empty()) {
        in.set_problem("'change_id' must have 1 to 100 characters");
    }
    if (const auto it = document.find("expected_version"); it != document.end()) {
        if (it->is_number_unsigned()) {
            change.expected_version = it->get<std::uint64_t>();
        }
        else {
            in.set_problem("'expected_version' must be a whole number");
        }
    }
    const auto change_content = read_body(in.text("change"), in);
    if (!change_content) {
        in.set_problem("'change' names no known change");
    }
    if (!in.problem().empty()) {
        return failure{in.problem()};
    }
    change.body = encode_variant(*change_content);
    return change;
}

std::string to_string(change_status status)
{
    constexpr std::array<const char*, 4> names{"accepted", "conflict", "invalid", "fenced"};
    return names.at(static_cast<std::size_t>(status));
}

}  // namespace balsamdrift
