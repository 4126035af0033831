#include "rig/soak/load.h"

#include <algorithm>
#include <array>

namespace balsamdrift::soak {

namespace {

/// Callers give an operation up after this time.
constexpr seconds operation_budget(4);
constexpr int retries = 2;
constexpr milliseconds retry_delay(50);
/// Sessions open within this time.
constexpr seconds opening_span(4);
constexpr double one_shot_share = 0.1;
constexpr double prepared_share = 0.3;
constexpr double roll_back_share = 0.08;
constexpr double leave_share = 0.02;
constexpr int most_statements = 5;
/// Sessions that use what the operator changes, for each entry; at most so many in all.
constexpr int explorers_per_entry = 3;
constexpr int most_explorers = 60;
/// Entries that are looked at after each change.
constexpr std::size_t most_entries_looked_at = 20;

}  // namespace

load::load(event_loop& loop, const site_description& site, platform_stand_in& platform,
           change_operator& changes, judge& verdicts, std::uint64_t seed)
    : loop_(loop),
      site_(site),
      platform_(platform),
      changes_(changes),
      verdicts_(verdicts),
      random_(seed)
{
}

void load::start()
{
    verdicts_.served().begin(monotonic_clock::now());
    constexpr std::array kinds{caller_kind{"primary", 0.15, 0.2, 0.3},
                               caller_kind{"bounded_staleness", 0.15, 0.0, 0.1},
                               caller_kind{"read_your_writes", 0.7, 0.12, 0.12}};
    for (int n = 0; n < site_.sessions; ++n) {
        const double at = draw();
        const caller_kind& kind = at < kinds[0].share                    ? kinds[0]
                                  : at < kinds[0].share + kinds[1].share ? kinds[1]
                                                                         : kinds[2];
        const std::string database = change_operator::main_database(
            static_cast<int>(random_() % static_cast<unsigned>(site_.services)), kind.route_kind);
        const std::string key = change_operator::main_key(
            static_cast<int>(random_() % static_cast<unsigned>(site_.tenants)));
        const std::string zone = site_.zones[random_() % site_.zones.size()].name;
        run_caller(kind, database, key, zone, draw() < one_shot_share);
    }
    int entries = 0;
    for (const zone_description& it : site_.zones) {
        entries += it.entries;
    }
    for (int n = 0; n < std::min(entries * explorers_per_entry, most_explorers); ++n) {
        run_explorer();
    }
}

operation_plan load::plan_for(const caller_kind& kind)
{
    operation_plan out;
    out.write_share = kind.write_share;
    out.transaction = draw() < kind.transaction_share;
    if (out.transaction) {
        out.statements = 1 + static_cast<int>(random_() % most_statements);
        out.read_only = kind.write_share <= 0;
        out.pause = milliseconds(100);
        out.rolls_back = draw() < roll_back_share;
        out.leaves = draw() < leave_share;
    }
    return out;
}

background load::run_caller(caller_kind kind, std::string database, std::string key,
                            std::string zone, bool one_shot)
{
    caller_session session(loop_, verdicts_, random_, database, key, false);
    const double gap_s = site_.sessions / site_.operations_per_second;
    const milliseconds first(random_() %
                             static_cast<unsigned>(to_milliseconds(opening_span).count()));
    co_await loop_.sleep(first);
    while (!stopped_) {
        operation_plan plan = plan_for(kind);
        const time_point began = monotonic_clock::now();
        const bool served = co_await run_operation(session, plan, zone);
        verdicts_.served().operation(began, served, monotonic_clock::now() - began,
                                     kind.route_kind);
        if (one_shot) {
            session.hang_up();
        }
        // The rate of the site holds whatever an operation takes.
        const float_seconds gap(std::exponential_distribution<>(1 / gap_s)(random_));
        const duration left =
            std::chrono::duration_cast<duration>(gap) - (monotonic_clock::now() - began) / 2;
        co_await loop_.sleep(left);
    }
}

task<bool> load::run_operation(caller_session& session, operation_plan plan, std::string zone)
{
    const time_point deadline = monotonic_clock::now() + operation_budget;
    for (int n = 0; n <= retries && monotonic_clock::now() < deadline; ++n) {
        if (n > 0) {
            co_await loop_.sleep(retry_delay * n);
        }
        while (!session.is_open() && monotonic_clock::now() < deadline) {
            machine* entry = platform_.pick_entry(zone);
            if (entry == nullptr) {
                co_return false;
            }
            const caller_answer started = co_await session.open(*entry);
            if (!session.is_open()) {
                co_await loop_.sleep(retry_delay);
            }
            else if (draw() < prepared_share) {
                const bool prepared = co_await session.prepare();
                (void)prepared;
            }
        }
        if (!session.is_open()) {
            co_return false;
        }
        const attempt_result result = co_await session.attempt(plan, deadline);
        if (result == attempt_result::success) {
            co_return true;
        }
        if (result == attempt_result::unknown) {
            co_return false;
        }
    }
    co_return false;
}

background load::run_explorer()
{
    const milliseconds first(random_() % 4000U);
    co_await loop_.sleep(first);
    while (!stopped_) {
        const milliseconds gap(200 + random_() % 1500);
        co_await loop_.sleep(gap);
        const std::vector<machine*> entries = platform_.ready_entries();
        if (entries.empty()) {
            continue;
        }
        const std::string database = changes_.some_database(random_);
        const std::string key = changes_.some_key(random_);
        caller_session session(loop_, verdicts_, random_, database, key, true);
        machine& entry = *entries[random_() % entries.size()];
        const caller_answer started = co_await session.open(entry);
        const time_point end = monotonic_clock::now() + milliseconds(500 + random_() % 14000);
        while (session.is_open() && monotonic_clock::now() < end && !stopped_) {
            operation_plan plan{.transaction = draw() < 0.4,
                                .statements = 1 + static_cast<int>(random_() % 4),
                                .write_share = 0.3,
                                .pause = milliseconds(2500)};
            const time_point deadline = monotonic_clock::now() + operation_budget;
            const attempt_result result = co_await session.attempt(plan, deadline);
            if (result != attempt_result::success && draw() < 0.3) {
                session.hang_up();
            }
            const milliseconds pause(50 + random_() % 400);
            co_await loop_.sleep(pause);
        }
    }
}

background load::look_at(std::string database, std::string key)
{
    std::vector<machine*> entries = platform_.ready_entries();
    std::shuffle(entries.begin(), entries.end(), random_);
    entries.resize(std::min(entries.size(), most_entries_looked_at));
    for (machine* it : entries) {
        look_at_entry(*it, database, key);
    }
    co_return;
}

background load::look_at_entry(machine& entry, std::string database, std::string key)
{
    caller_session session(loop_, verdicts_, random_, database, key, true);
    const caller_answer started = co_await session.open(entry);
    if (session.is_open()) {
        const operation_plan plan{.read_only = true};
        const time_point deadline = monotonic_clock::now() + operation_budget;
        const attempt_result result = co_await session.attempt(plan, deadline);
        (void)result;
    }
}

}  // namespace balsamdrift::soak
