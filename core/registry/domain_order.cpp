#include "core/registry/domain_order.h"

#include "base/codec.h"
#include "base/outcome.h"

namespace balsamdrift {
namespace {

template<typename Variant>
std::string domain_in(const Variant& command)
{
    if (const auto* order = std::get_if<evacuate_domain>(&command)) {
        return order->domain;
    }
    if (const auto* order = std::get_if<restore_domain>(&command)) {
        return order->domain;
    }
    return {};
}

}  // namespace

std::string ordered_domain(const registry_command& command)
{
    const auto* const change = std::get_if<operator_change>(&command);
    if (change == nullptr) {
        return domain_in(command);
    }
    auto body = decode_variant<change_body>(change->body);
    return succeeded(body) ? domain_in(value_of(body)) : std::string();
}

std::string check_ordered_domain(const registry& state, const std::set<std::string>& seen,
                                 const std::string& domain)
{
    const bool known = seen.contains(domain) || state.entry_domains.contains(domain) ||
                       state.ordered_domains.contains(domain);
    const bool nothing_known = seen.empty() && state.entry_domains.empty();
    return known || nothing_known ? std::string() : "no failure domain '" + domain + "'";
}

}  // namespace balsamdrift
