#include "fleet/report_exchange.h"

#include <iterator>

namespace balsamdrift {
namespace {

/// Number of reports that are kept while none is confirmed. An entry sends at most one in 40 ms and
/// sends full ones when there was no answer for 200 ms.
constexpr std::size_t max_reports = 16;

/// A table of names that has grown to this is sent again in full, without the names of instances
/// that no longer exist.
constexpr std::size_t max_table_names = 256;

/// Removes reports that no later delta refers to, and the oldest ones beyond the limit, except
/// `base`.
void remove_old_reports(std::map<std::uint64_t, numbered_report>& reports, std::uint64_t base)
{
    reports.erase(reports.begin(), reports.lower_bound(base));
    while (reports.size() > max_reports) {
        auto it = reports.begin();
        reports.erase(it->first == base ? std::next(it) : it);
    }
}

}  // namespace

std::uint64_t record_full_report(report_sender& sender, const entry_report& report)
{
    const std::uint64_t number = ++sender.last_number;
    sender.sent[number] = number_report(number, report);
    remove_old_reports(sender.sent, sender.confirmed);
    return number;
}

std::optional<report_delta> make_next_delta(report_sender& sender, const std::string& receiver,
                                            const entry_report& report)
{
    const auto base = sender.sent.find(sender.confirmed);
    if (receiver != sender.holder || base == sender.sent.end() ||
        base->second.names.size() > max_table_names) {
        return std::nullopt;
    }
    report_delta delta = make_delta(base->second, ++sender.last_number, report, {});
    // What the receiver rebuilds is kept, so that small changes of demand add up to one that is
    // reported.
    std::optional<numbered_report> rebuilt = apply_delta(base->second, delta);
    if (!rebuilt) {
        return std::nullopt;
    }
    sender.sent[delta.number] = std::move(*rebuilt);
    remove_old_reports(sender.sent, sender.confirmed);
    return delta;
}

void record_confirmed_report(report_sender& sender, const std::string& receiver,
                             std::uint64_t number)
{
    const bool newer = receiver != sender.holder || number > sender.confirmed;
    if (number == 0 || !newer || !sender.sent.contains(number)) {
        return;
    }
    sender.holder = receiver;
    sender.confirmed = number;
    remove_old_reports(sender.sent, number);
}

void record_missing_base(report_sender& sender, const std::string& receiver)
{
    if (receiver == sender.holder) {
        sender.holder.clear();
        sender.confirmed = 0;
    }
}

std::optional<share_map> shares_of_grant(const report_sender& sender, const share_changes& changes)
{
    const auto it = sender.sent.find(changes.base);
    return it == sender.sent.end() ? std::nullopt : apply_share_changes(it->second, changes);
}

void record_full_report(report_table& table, const lease_request& request)
{
    if (request.report_number == 0) {
        return;
    }
    known_reports& it = table[request.record.incarnation];
    it.entry = request.entry;
    it.record = request.record;
    it.reports[request.report_number] = number_report(request.report_number, request.report);
    remove_old_reports(it.reports, it.reports.begin()->first);
}

std::optional<lease_request> expand_renewal(report_table& table, const lease_renewal& renewal)
{
    const auto known = table.find(renewal.incarnation);
    if (known == table.end()) {
        return std::nullopt;
    }
    known_reports& it = known->second;
    const auto base = it.reports.find(renewal.report.base);
    if (base == it.reports.end()) {
        return std::nullopt;
    }
    std::optional<numbered_report> rebuilt = apply_delta(base->second, renewal.report);
    if (!rebuilt) {
        return std::nullopt;
    }
    lease_request request{.entry = it.entry,
                          .record = it.record,
                          .index = renewal.index,
                          .sent_at = renewal.sent_at,
                          .draining = renewal.draining,
                          .report = rebuilt->report,
                          .report_number = renewal.report.number};
    it.reports[renewal.report.number] = std::move(*rebuilt);
    // A report that arrives late, after its successors, refers to a base that they may not need.
    if (it.reports.rbegin()->first == renewal.report.number) {
        remove_old_reports(it.reports, renewal.report.base);
    }
    return request;
}

const numbered_report* find_report(const report_table& table, std::uint64_t incarnation,
                                   std::uint64_t number)
{
    const auto known = table.find(incarnation);
    if (known == table.end()) {
        return nullptr;
    }
    const auto it = known->second.reports.find(number);
    return it == known->second.reports.end() ? nullptr : &it->second;
}

std::uint32_t address_list_checksum(const std::vector<std::string>& addresses)
{
    // 32-bit FNV-1a. The byte after each address keeps lists apart that join to the same text.
    constexpr std::uint32_t offset_basis = 2166136261U;
    constexpr std::uint32_t prime = 16777619U;
    std::uint32_t sum = offset_basis;
    const auto add = [&](unsigned char byte) { sum = (sum ^ byte) * prime; };
    for (const std::string& it : addresses) {
        for (const char byte : it) {
            add(static_cast<unsigned char>(byte));
        }
        add(0);
    }
    return sum;
}

}  // namespace balsamdrift
