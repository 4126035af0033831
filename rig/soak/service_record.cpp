#include "rig/soak/service_record.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace balsamdrift::soak {

namespace {

/// The gate's floor for whole days with disturbances lies between 0.42 and 0.48.
constexpr double least_share = 0.47;
/// Without disturbances, nearly all of what is owed is to be served, in each window too.
constexpr double least_steady_share = 0.97;
constexpr double least_window_share = 0.8;
constexpr int window_seconds = 5;
/// A rule of the pages: a quarter is served after recovery.
constexpr double least_recovered_share = 0.25;
/// A rule of the pages: entries are ready for seven eighths of the steady time.
constexpr double least_ready_share = 0.875;
/// Callers settle after they begin.
constexpr int first_seconds = 5;

std::string percent(int part, int whole)
{
    return std::to_string(part) + " of " + std::to_string(whole);
}

}  // namespace

long service_record::second_of(time_point at) const
{
    return static_cast<long>(std::floor(float_seconds(at - begin_).count()));
}

void service_record::operation(time_point started, bool served, duration took,
                               const std::string& kind)
{
    bucket& in = seconds_[second_of(started)];
    ++in.owed;
    in.served += served ? 1 : 0;
    ++kinds_[kind].owed;
    kinds_[kind].served += served ? 1 : 0;
    if (served) {
        latencies_ms_.push_back(std::chrono::duration<double, std::milli>(took).count());
    }
}

std::string service_record::take_failures()
{
    std::string out;
    for (const auto& [code, count] : failures_) {
        out += (out.empty() ? "" : ", ") + code + " " + std::to_string(count);
    }
    failures_.clear();
    return out;
}

void service_record::disturbed(time_point at)
{
    const long from = second_of(at);
    for (long n = from - 1; n <= from + site_.bound_s("recoveryS").count(); ++n) {
        seconds_[n].disturbed = true;
    }
}

void service_record::probed(time_point at, const std::string& entry, bool ready)
{
    probes_[entry][second_of(at)] = ready;
}

service_record::findings service_record::evaluate(time_point end) const
{
    findings out;
    bucket whole;
    bucket steady;
    bucket recovered;
    const long last = second_of(end);
    const long back = back_at_ == time_point::max() ? last : second_of(back_at_);
    for (const auto& [second, it] : seconds_) {
        if (second < 0 || second >= last) {
            continue;
        }
        bucket& part = second > back + site_.bound_s("recoveryS").count() ? recovered : whole;
        part.owed += it.owed;
        part.served += it.served;
        if (!it.disturbed && second >= first_seconds) {
            steady.owed += it.owed;
            steady.served += it.served;
        }
    }
    const auto below = [](const bucket& it, double share) {
        return it.owed > 0 && it.served < share * it.owed;
    };
    if (whole.owed == 0 || below(whole, least_share)) {
        out.too_little.push_back("whole run: served " + percent(whole.served, whole.owed));
    }
    if (below(steady, least_steady_share)) {
        out.too_little.push_back("without disturbances: served " +
                                 percent(steady.served, steady.owed));
    }
    for (const auto& [second, first] : seconds_) {
        bucket window;
        bool calm = second >= first_seconds && second + window_seconds <= last;
        for (long n = second; n < second + window_seconds; ++n) {
            const auto it = seconds_.find(n);
            if (it != seconds_.end()) {
                window.owed += it->second.owed;
                window.served += it->second.served;
                calm = calm && !it->second.disturbed;
            }
        }
        if (calm && below(window, least_window_share)) {
            out.too_little.push_back("5 s from second " + std::to_string(second) +
                                     " of the load on, without disturbances: served " +
                                     percent(window.served, window.owed));
        }
    }
    for (const auto& [entry, probes] : probes_) {
        int all = 0;
        int ready = 0;
        for (const auto& [second, was_ready] : probes) {
            const auto it = seconds_.find(second);
            if (second >= 0 && it != seconds_.end() && !it->second.disturbed) {
                ++all;
                ready += was_ready ? 1 : 0;
            }
        }
        if (ready < least_ready_share * all) {
            out.too_little.push_back(entry + " ready in " + percent(ready, all) +
                                     " probes without disturbances");
        }
    }
    if (back_at_ != time_point::max() &&
        (recovered.owed == 0 || below(recovered, least_recovered_share))) {
        out.not_recovered.push_back("after the final fault: served " +
                                    percent(recovered.served, recovered.owed));
    }
    std::vector<double> sorted = latencies_ms_;
    std::sort(sorted.begin(), sorted.end());
    std::ostringstream text;
    text << "served " << percent(whole.served, whole.owed) << ", without disturbances "
         << percent(steady.served, steady.owed) << ", after the final fault "
         << percent(recovered.served, recovered.owed);
    if (!sorted.empty()) {
        text << "; latency p50 " << sorted[sorted.size() / 2] << " ms, p99 "
             << sorted[sorted.size() * 99 / 100] << " ms";
    }
    for (const auto& [kind, it] : kinds_) {
        text << "; " << kind << " " << percent(it.served, it.owed);
    }
    out.summary = text.str();
    return out;
}

}  // namespace balsamdrift::soak
