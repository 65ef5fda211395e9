// docs/PROOFS.md names tests as evidence; each of them has to exist. Every
// *_test.cpp is a program that ctest runs whole, so what exists is run.

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

fs::path source()
{
    const char *const set = std::getenv("EGRETTIDE_SOURCE");
    return set != nullptr ? fs::path(set) : fs::current_path();
}

std::string textOf(const fs::path &path)
{
    std::ifstream file(path);
    std::string text{std::istreambuf_iterator<char>(file), {}};
    BOOST_REQUIRE_MESSAGE(!text.empty(), "cannot read " << path << "; run by ctest, which sets EGRETTIDE_SOURCE");
    return text;
}

// All matches of the pattern's first group.
std::set<std::string> matches(const std::string &text, const std::string &pattern)
{
    const std::regex expression(pattern);
    std::set<std::string> found;
    for (std::sregex_iterator at(text.begin(), text.end(), expression), end; at != end; ++at) {
        found.insert((*at)[1]);
    }
    return found;
}

// "program: Suite/Case" of a test file; suites are not nested here.
void addCases(const fs::path &file, std::set<std::string> &cases)
{
    static const std::regex line(R"(BOOST_(?:AUTO|FIXTURE)_TEST_(SUITE|CASE)\((\w+))");
    const std::string text = textOf(file);
    std::string suite;
    for (std::sregex_iterator at(text.begin(), text.end(), line), end; at != end; ++at) {
        if ((*at)[1] == "SUITE") {
            suite = (*at)[2];
        } else {
            cases.insert(file.stem().string() + ": " + suite + "/" + (*at)[2].str());
        }
    }
}

std::set<std::string> allCases()
{
    std::set<std::string> cases;
    for (const char *folder : {"core", "runtime", "process"}) {
        for (const auto &entry : fs::directory_iterator(source() / "tests" / folder)) {
            if (entry.path().filename().string().ends_with("_test.cpp")) {
                addCases(entry.path(), cases);
            }
        }
    }
    return cases;
}

// Every "program: Suite/Case, Suite/Case" of the page, one entry each.
std::set<std::string> namedCases(const std::string &page)
{
    static const std::regex list(R"((\w+_test): ([^;|\n]*))");
    std::set<std::string> named;
    for (std::sregex_iterator at(page.begin(), page.end(), list), end; at != end; ++at) {
        for (const std::string &name : matches((*at)[2], R"(\b([A-Z]\w*/[A-Z]\w+))")) {
            named.insert((*at)[1].str() + ": " + name);
        }
    }
    return named;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ProofsPage)

BOOST_AUTO_TEST_CASE(NamesTestsThatExist)
{
    const std::set<std::string> cases = allCases();
    const std::set<std::string> named = namedCases(textOf(source() / "docs" / "PROOFS.md"));
    BOOST_TEST(named.size() > 50U, "only " << named.size() << " tests were found on the page; its form has changed");
    for (const std::string &name : named) {
        BOOST_TEST(cases.contains(name), "docs/PROOFS.md names " << name << ", which does not exist; mend the page");
    }
}

BOOST_AUTO_TEST_CASE(NamesDeploymentsThatExist)
{
    const std::string deployments = textOf(source() / "tests" / "process" / "deployment_test.py");
    const auto named = matches(textOf(source() / "docs" / "PROOFS.md"), R"(process\.deployment\.(\w+))");
    BOOST_TEST(named.size() > 3U);
    for (const std::string &name : named) {
        BOOST_TEST(deployments.find("def test_" + name + "(") != std::string::npos,
                   "docs/PROOFS.md names the deployment " << name << ", which does not exist; mend the page");
    }
}

BOOST_AUTO_TEST_CASE(HasARowForEachOfTheNinePoints)
{
    const std::string page = textOf(source() / "docs" / "PROOFS.md");
    const std::string table = page.substr(0, page.find("\n## "));
    const auto states = std::regex(R"(\| (proved|partial|not run) \|\n)");
    const auto rows = std::distance(std::sregex_iterator(table.begin(), table.end(), states), std::sregex_iterator());
    BOOST_TEST(rows == 9, "the table has " << rows << " rows with a state of the three; the brief has nine points");
}

BOOST_AUTO_TEST_SUITE_END()
