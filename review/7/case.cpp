// A caller prepares a statement whose shape has blanks. Guards against the proxy's name for it on a
// pooled connection being read as other fields: a read that runs as a write, and another caller of
// the same tenant whose prepared read runs a shape that it never prepared.

#include "review/common-2/stand_in.h"

using namespace review;

namespace {

/// What a client prepared and then executed under one id.
struct expected_run {
    std::string shape;
    std::string arguments;
};

/// Compares what the instances ran with what the clients asked for; counts the differences.
int count_broken(database& db, const std::map<std::string, expected_run>& expected,
                 run_record& record)
{
    int broken = 0;
    const std::lock_guard lock(db.mutex);
    for (const run_statement& it : db.ran) {
        const auto wanted = expected.find(it.id);
        if (wanted == expected.end()) {
            continue;
        }
        std::string arguments = it.text;
        (void)take_word(arguments);
        (void)take_word(arguments);
        if (it.shape != wanted->second.shape) {
            ++broken;
            record.note("BROKEN PINNED id=%s prepared [%s], ran [%s]", it.id.c_str(),
                        wanted->second.shape.c_str(), it.shape.c_str());
        }
        if (arguments != wanted->second.arguments) {
            ++broken;
            record.note("BROKEN UNASKED id=%s sent the arguments [%s], ran [%s]", it.id.c_str(),
                        wanted->second.arguments.c_str(), arguments.c_str());
        }
    }
    return broken;
}

}  // namespace

int main(int, char** argv)
{
    run_record record(argv[1]);
    database db({}, record);
    site deployment({}, db, record);
    int result = 2;
    if (deployment.start() && deployment.configure(deployment.configuration(1)) &&
        deployment.wait_until_served()) {
        client other(record, "other");
        client plain(record, "plain");
        const bool opened = other.open(deployment.frontend(0), "dbprimary", "key-tenant1") &&
                            plain.open(deployment.frontend(0), "dbprimary", "key-tenant1");
        const bool written = plain.query("w1", "WRITE item1 data1").succeeded();
        const bool prepared = plain.query("p1", "PREPARE s1 READ q1").succeeded();
        if (opened && written && prepared && plain.query("p2", "EXECUTE s1 item1").succeeded()) {
            // The last field of a line extends to its end, so a shape may have blanks.
            const std::string shape = with_trouble() ? "q1 WRITE q2" : "q2";
            std::map<std::string, expected_run> expected{{"p2", {"READ q1", "item1"}},
                                                         {"o2", {"READ " + shape, "item1"}},
                                                         {"p3", {"READ q1", "item1"}}};
            (void)other.query("o1", "PREPARE s1 READ " + shape);
            (void)other.query("o2", "EXECUTE s1 item1");
            const answer third = plain.query("p3", "EXECUTE s1 item1");
            const answer read = plain.query("p4", "READ item1");
            int broken = count_broken(db, expected, record);
            if (third.succeeded() && (third.rows.empty() || third.rows.front() != "data1")) {
                ++broken;
                record.note("BROKEN a read of item1 succeeded with other rows than data1");
            }
            if (read.succeeded() && read.rows.front() != "data1") {
                ++broken;
                record.note("BROKEN item1 holds [%s], which no client has written",
                            read.rows.front().c_str());
            }
            result = broken > 0 ? 1 : 0;
        }
    }
    deployment.stop();
    record.note("RESULT %d", result);
    return result;
}
