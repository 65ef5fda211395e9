// Tests of docs/PROOFS.md: every test that the page names as evidence must exist. ctest
// runs every *_test.cpp as one program with all of its cases, so an existing case is run.

#define BOOST_TEST_MODULE Proofs
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace
{

namespace fs = std::filesystem;

fs::path sourceDirectory()
{
    const char *const configured = std::getenv("EGRETTIDE_SOURCE");
    return configured != nullptr ? fs::path(configured) : fs::current_path();
}

std::string readFile(const fs::path &path)
{
    std::ifstream file(path);
    std::string text{std::istreambuf_iterator<char>(file), {}};
    BOOST_REQUIRE_MESSAGE(!text.empty(), "cannot read " << path << "; run this test with ctest, which sets EGRETTIDE_SOURCE");
    return text;
}

// Returns the first capture group of every match of the pattern.
std::set<std::string> firstGroups(const std::string &text, const std::string &pattern)
{
    const std::regex expression(pattern);
    std::set<std::string> found;
    for (std::sregex_iterator match(text.begin(), text.end(), expression), end; match != end; ++match) {
        found.insert((*match)[1]);
    }
    return found;
}

// Adds the test cases of a file as "program: Suite/Case". Nested suites are not supported.
void addCases(const fs::path &file, std::set<std::string> &cases)
{
    static const std::regex macro(R"(BOOST_(?:AUTO|FIXTURE)_TEST_(SUITE|CASE)\((\w+))");
    const std::string text = readFile(file);
    std::string suite;
    for (std::sregex_iterator match(text.begin(), text.end(), macro), end; match != end; ++match) {
        if ((*match)[1] == "SUITE") {
            suite = (*match)[2];
        } else {
            cases.insert(file.stem().string() + ": " + suite + "/" + (*match)[2].str());
        }
    }
}

std::set<std::string> existingCases()
{
    std::set<std::string> cases;
    for (const char *folder : {"core", "runtime", "process"}) {
        for (const auto &entry : fs::directory_iterator(sourceDirectory() / "tests" / folder)) {
            if (entry.path().filename().string().ends_with("_test.cpp")) {
                addCases(entry.path(), cases);
            }
        }
    }
    return cases;
}

// Returns the cases that the page names: "program: Suite/A, Suite/B" yields
// "program: Suite/A" and "program: Suite/B".
std::set<std::string> namedCases(const std::string &page)
{
    static const std::regex reference(R"((\w+_test): ([^;|\n]*))");
    std::set<std::string> named;
    for (std::sregex_iterator match(page.begin(), page.end(), reference), end; match != end; ++match) {
        for (const std::string &name : firstGroups((*match)[2], R"(\b([A-Z]\w*/[A-Z]\w+))")) {
            named.insert((*match)[1].str() + ": " + name);
        }
    }
    return named;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ProofsPage)

BOOST_AUTO_TEST_CASE(NamesTestsThatExist)
{
    const std::set<std::string> cases = existingCases();
    const std::set<std::string> named = namedCases(readFile(sourceDirectory() / "docs" / "PROOFS.md"));
    BOOST_TEST(named.size() > 50U, "only " << named.size() << " tests were found on the page; its format has changed");
    for (const std::string &name : named) {
        BOOST_TEST(cases.contains(name), "docs/PROOFS.md names " << name << ", which does not exist; correct the page");
    }
}

BOOST_AUTO_TEST_CASE(NamesDeploymentTestsThatExist)
{
    const std::string deploymentTests = readFile(sourceDirectory() / "tests" / "process" / "deployment_test.py");
    const auto named = firstGroups(readFile(sourceDirectory() / "docs" / "PROOFS.md"), R"(process\.deployment\.(\w+))");
    BOOST_TEST(named.size() > 3U);
    for (const std::string &name : named) {
        BOOST_TEST(deploymentTests.find("def test_" + name + "(") != std::string::npos,
                   "docs/PROOFS.md names the deployment test " << name << ", which does not exist; correct the page");
    }
}

BOOST_AUTO_TEST_CASE(ListsNineInvariantsWithTheirStates)
{
    const std::string page = readFile(sourceDirectory() / "docs" / "PROOFS.md");
    const std::string table = page.substr(0, page.find("\n## "));
    const auto states = std::regex(R"(\| (proved|partial|not run) \|\n)");
    const auto rows = std::distance(std::sregex_iterator(table.begin(), table.end(), states), std::sregex_iterator());
    BOOST_TEST(rows == 9, "the table has " << rows << " invariants with the state proved, partial or not run; expected nine");
}

BOOST_AUTO_TEST_SUITE_END()
