#include "core/queueing/fair_queue.h"

#include <algorithm>
#include <limits>

namespace balsamdrift {
namespace {

/// Number of statements of one customer that `pop` checks for one that can start.
constexpr std::size_t scan_limit = 32;

/// Virtual time by which one start delays the customer's next one.
constexpr double start_cost = 1;

using startable_predicate = std::function<bool(const queued_statement&)>;

/// Position of the first statement in the backlog that can start, or the size of the backlog.
std::size_t find_startable(const customer_backlog& backlog, const startable_predicate& startable)
{
    const std::size_t limit = std::min(scan_limit, backlog.waiting.size());
    for (std::size_t n = 0; n < limit; ++n) {
        if (startable(backlog.waiting[n])) {
            return n;
        }
    }
    return backlog.waiting.size();
}

/// Removes customers without waiting statements whose next start is not later than the virtual
/// time. Others stay, so that a customer cannot start early by emptying its backlog.
void remove_idle_customers(fair_queue& queue)
{
    std::erase_if(queue.customers, [&](const auto& it) {
        return it.second.waiting.empty() && it.second.next_start <= queue.virtual_time;
    });
}

/// Removes and returns all statements for which `matches` is true.
template<class Predicate>
std::vector<queued_statement> take_if(fair_queue& queue, Predicate&& matches)
{
    std::vector<queued_statement> taken;
    for (auto& [customer, backlog] : queue.customers) {
        const auto first =
            std::stable_partition(backlog.waiting.begin(), backlog.waiting.end(),
                                  [&](const queued_statement& it) { return !matches(it); });
        taken.insert(taken.end(), first, backlog.waiting.end());
        backlog.waiting.erase(first, backlog.waiting.end());
    }
    queue.size -= taken.size();
    return taken;
}

}  // namespace

void push(fair_queue& queue, queued_statement statement)
{
    customer_backlog& backlog = queue.customers[statement.customer];
    if (backlog.waiting.empty()) {
        // A customer that was idle starts at the current virtual time; it gains no starts for the
        // time without statements.
        backlog.next_start = std::max(backlog.next_start, queue.virtual_time);
    }
    backlog.waiting.push_back(std::move(statement));
    ++queue.size;
}

std::optional<queued_statement> pop(fair_queue& queue, const startable_predicate& startable)
{
    customer_backlog* next = nullptr;
    std::size_t position = 0;
    for (auto& [customer, backlog] : queue.customers) {
        if (backlog.waiting.empty() ||
            (next != nullptr && backlog.next_start >= next->next_start)) {
            continue;
        }
        const std::size_t n = find_startable(backlog, startable);
        if (n < backlog.waiting.size()) {
            next = &backlog;
            position = n;
        }
    }
    if (next == nullptr) {
        return std::nullopt;
    }
    queue.virtual_time = std::max(queue.virtual_time, next->next_start);
    next->next_start += start_cost;
    queued_statement statement = std::move(next->waiting[position]);
    next->waiting.erase(next->waiting.begin() + static_cast<std::ptrdiff_t>(position));
    --queue.size;
    remove_idle_customers(queue);
    return statement;
}

bool remove(fair_queue& queue, const std::string& customer, std::uint64_t id)
{
    const auto found = queue.customers.find(customer);
    if (found == queue.customers.end()) {
        return false;
    }
    const auto removed = std::erase_if(found->second.waiting,
                                       [&](const queued_statement& it) { return it.id == id; });
    queue.size -= removed;
    return removed > 0;
}

std::vector<queued_statement> take_expired(fair_queue& queue, time_point now)
{
    return take_if(queue, [&](const queued_statement& it) { return it.deadline <= now; });
}

std::vector<queued_statement> take_all(fair_queue& queue)
{
    return take_if(queue, [](const queued_statement&) { return true; });
}

wait_estimate estimate_wait(const fair_queue& queue, const std::string& customer, int slots,
                            duration service_time)
{
    std::size_t own = 0;
    std::size_t ahead = 0;
    if (const auto found = queue.customers.find(customer); found != queue.customers.end()) {
        own = found->second.waiting.size();
    }
    // Until the new statement starts, every other customer starts at most one statement more than
    // are waiting for this customer.
    for (const auto& [name, backlog] : queue.customers) {
        ahead += name == customer ? own : std::min(backlog.waiting.size(), own + 1);
    }
    return {service_time * static_cast<std::int64_t>(ahead) / std::max(slots, 1)};
}

}  // namespace balsamdrift
