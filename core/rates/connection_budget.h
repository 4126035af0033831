#pragma once

#include "base/time.h"

namespace balsamdrift {

/// Settings of connection_budget_for().
struct connection_budget_options {
    /// Connections of each instance that entries do not use. They are left to control.
    int reserved = 2;
    /// Fraction of the other connections that are divided among the entries, which keep them open
    /// for later statements. The rest may be borrowed by any entry for the statements that run now.
    double kept_fraction = 0.8;
    /// Number of connections that one entry may borrow from an instance at a time.
    int max_borrowed = 4;
    /// Time after which an entry may borrow one connection more than the last refusal left it.
    duration borrow_recovery = seconds(1);
};

/// How many connections an entry may borrow from one instance. All entries learn from refusals only
/// that together they want more than the instance accepts. Load pattern: the replicas of a service
/// lag, and every entry runs its reads on the primary; connections beyond the primary's slots
/// do not serve them faster, and each refused one costs a round trip.
struct borrow_limit {
    double after_refusal = 0;
    /// When the instance last refused a connection; the clock's epoch if it never has.
    time_point refused_at{};
};

/// Records a refusal: the entry borrows half as many connections as before.
void record_refused_connection(borrow_limit& limit, const connection_budget_options& options,
                               time_point now);

/// Number of connections that may be borrowed now.
int borrowable(const borrow_limit& limit, const connection_budget_options& options, time_point now);

/// Number of connections that one entry may have to one instance.
struct connection_budget {
    /// Connections that may stay open while they are idle.
    int kept = 0;
    /// Connections that may be in use at a time. Those beyond `kept` are borrowed, and closed when
    /// their statement or transaction ends.
    int in_use = 0;
};

/// Number of an instance's connections that are divided among all entries, of the `accepted` ones.
int divided_connections(int accepted, const connection_budget_options& options);

/// Divides the connections that an instance accepts, for the load of many entries that each send
/// the instance a few statements: most entries then keep none, and the statements that run at a
/// time need far fewer connections than there are entries. At least one may be in use. `share` is
/// the entry's fraction of the divided connections. The kept connections of all entries never
/// exceed the divided ones. Borrowed ones need no agreement, because an instance that has none left
/// refuses a connection before anything runs.
connection_budget connection_budget_for(int accepted, double share, int borrowable,
                                        const connection_budget_options& options);

}  // namespace balsamdrift
