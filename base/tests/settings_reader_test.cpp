#include "base/settings_reader.h"

#include <catch2/catch.hpp>

#include <QTemporaryDir>
#include <fstream>

using namespace balsamdrift;

namespace {

/// A settings file that is removed at the end of the test.
struct temporary_settings_file {
    QTemporaryDir folder;
    std::string path = folder.path().toStdString() + "/settings.yaml";

    settings_reader write(const std::string& text) const
    {
        std::ofstream(path) << text;
        return settings_reader::from_file(path);
    }
};

bool mentions(const std::vector<std::string>& problems, const std::string& text)
{
    return std::any_of(problems.begin(), problems.end(),
                       [&](const std::string& it) { return it.find(text) != std::string::npos; });
}

}  // namespace

TEST_CASE("valid settings are read with their units", "[settings]")
{
    temporary_settings_file file;
    settings_reader in = file.write("name: e1\nport: 5\nwait: 250ms\nat: 127.0.0.1:80\n");
    CHECK(in.text("name") == "e1");
    CHECK(in.number("port", 0, 1, 10) == 5);
    CHECK(in.time_span("wait", seconds(1)) == milliseconds(250));
    CHECK(in.address("at") == endpoint{"127.0.0.1", 80});
    CHECK(in.time_span("absent", seconds(3)) == seconds(3));
    CHECK(in.finish().empty());
}

TEST_CASE("every problem is reported with file, line, key and what was expected", "[settings]")
{
    temporary_settings_file file;
    settings_reader in =
        file.write("name: [1]\nport: 70000\nwait: 250\nat: localhost:80\nodd: 1\nlist: x\n");
    (void)in.text("name");
    (void)in.number("port", 0, 0, 65535);
    (void)in.time_span("wait", seconds(1));
    (void)in.address("at");
    (void)in.list("list");
    (void)in.text("missing");
    const auto problems = in.finish();
    CHECK(problems.size() == 7);
    CHECK(mentions(problems, file.path + ":1: name: expected text"));
    CHECK(mentions(problems, file.path + ":2: port: expected a whole number from 0 to 65535"));
    CHECK(mentions(problems, file.path + ":3: wait: expected a span with its unit"));
    CHECK(mentions(problems, file.path + ":4: at: expected an IP number and port"));
    CHECK(mentions(problems, file.path + ":5: odd: expected a known key"));
    CHECK(mentions(problems, file.path + ":6: list: expected a sequence"));
    CHECK(mentions(problems, "missing: expected a value"));
}

TEST_CASE("a missing file and invalid YAML are reported as problems", "[settings]")
{
    temporary_settings_file file;
    CHECK(mentions(settings_reader::from_file("/no/such/file").finish(), "cannot be opened"));
    CHECK(mentions(file.write("a: [1, 2\n").finish(), "not valid YAML"));
    CHECK(mentions(file.write("just text\n").finish(), "expected a mapping"));
}
