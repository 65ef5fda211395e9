// Checks that the platform's own names are used only in the folders that translate them.

#define BOOST_TEST_MODULE Words
#include <boost/test/unit_test.hpp>

#include <cctype>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace
{

namespace fs = std::filesystem;

// Fields, headers and words of the platform's protocols. Ordinary technical words and names that
// the product had before (name, zone, version, tombstone, maxConnections) are left out, as their
// use does not indicate a leak.
const std::vector<std::string> platformNames{
    "Egrettide-Fencing-Token",
    "Egrettide-Holder",
    "Egrettide-Expect-Instance",
    "Egrettide-Instance-Id",
    "maxStalenessMs",
    "coldRemainingMs",
    "targetLatencyMs",
    "pathPrefix",
    "txIdleMs",
    "allowStale",
    "dbRole",
    "currentRev",
    "hasMore",
    "finalizers",
    "healthPath",
    "reuseAfterS",
    "syncReplicas",
    "EGRETTIDE_BOOT",
    "machineClass",
    "internalPorts",
    "cloudApi",
    "stabilityWindowMs",
    "bounded_staleness",
    "read_your_writes",
    "STARTUP",
    "DATAROW",
    "STEPDOWN",
    "DEALLOC",
    "LAGGING",
    "TOOMANY",
    "READONLY",
    "NOSTMT",
    "/v1/objects",
    "/v1/ready",
};

std::string textOf(const fs::path &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

bool isSource(const fs::path &path)
{
    return path.extension() == ".cpp" || path.extension() == ".h" || path.extension() == ".fbs";
}

bool isWordPart(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_';
}

// True when the name occurs as a whole word.
bool mentions(const std::string &text, const std::string &name)
{
    for (std::size_t at = text.find(name); at != std::string::npos; at = text.find(name, at + 1)) {
        const bool begins = at == 0 || !isWordPart(text[at - 1]);
        const std::size_t end = at + name.size();
        if (begins && (end == text.size() || !isWordPart(text[end]))) {
            return true;
        }
    }
    return false;
}

// Every use of a platform's name below the folders, as "file: name".
std::vector<std::string> usesBelow(const fs::path &root, const std::vector<std::string> &folders)
{
    std::vector<std::string> uses;
    for (const std::string &folder : folders) {
        for (const auto &entry : fs::recursive_directory_iterator(root / folder)) {
            if (!entry.is_regular_file() || !isSource(entry.path())) {
                continue;
            }
            const std::string text = textOf(entry.path());
            for (const std::string &name : platformNames) {
                if (mentions(text, name)) {
                    uses.push_back(fs::relative(entry.path(), root).string() + ": " + name);
                }
            }
        }
    }
    return uses;
}

fs::path sourceRoot()
{
    const char *root = std::getenv("EGRETTIDE_SOURCE");
    BOOST_TEST_REQUIRE(root != nullptr, "EGRETTIDE_SOURCE is not set; run the test through ctest");
    return root;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformNames)

BOOST_AUTO_TEST_CASE(StandNowhereInTheProduct)
{
    const auto uses = usesBelow(sourceRoot(), {"src", "include", "schema"});
    std::string all;
    for (const std::string &use : uses) {
        all += use + "\n";
    }
    BOOST_TEST(uses.empty(), "translate these in platform/ and use the product's own names outside it:\n" << all);
}

BOOST_AUTO_TEST_CASE(AreFoundWhereTheyAreUsed)
{
    // Verifies the search itself: it must find the names in the folder that translates them.
    BOOST_TEST(usesBelow(sourceRoot(), {"platform"}).size() >= 10U, "the search finds too few uses; check its file types");
}

BOOST_AUTO_TEST_SUITE_END()
