#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>

#include <catch2/catch.hpp>

#include "cornelstall/declarations.hpp"

using namespace cornelstall;

namespace
{

/// A directory that is removed at the end of the test.
struct scratch_directory
{
    std::filesystem::path path_;

    scratch_directory()
    {
        auto name = (std::filesystem::temp_directory_path() / "cornelstall-XXXXXX").string();
        REQUIRE(mkdtemp(name.data()) != nullptr);
        path_ = name;
    }
    scratch_directory(const scratch_directory&) = delete;
    scratch_directory(scratch_directory&&) = delete;
    scratch_directory& operator=(const scratch_directory&) = delete;
    scratch_directory& operator=(scratch_directory&&) = delete;
    ~scratch_directory()
    {
        std::filesystem::remove_all(path_);
    }

    void write(const std::string& file, const std::string& text) const
    {
        std::filesystem::create_directories((path_ / file).parent_path());
        std::ofstream(path_ / file) << text;
    }
};

std::string service_text(const std::string& name, char key, const std::string& plain = "")
{
    return "service = \"" + name + "\"\nmodels = [\"atlas\"]\nranks = [\"urgent\"]\n[[callers]]\nname = \"c\"\n" +
           "organisation = \"o\"\nkey_sha256 = \"" + std::string(64, key) + "\"\n" +
           (plain.empty() ? ""
                          : "[[plain_services]]\nname = \"" + plain +
                                "\"\n[[plain_services.calls]]\nmethod = \"GET\"\npath = \"/\"\n");
}

const std::string fleet_text = "[ranks.urgent]\nfloor_percent = 50\n[models.atlas]\nversion = \"1\"\n";

std::vector<int> ids_of(const declaration_tree& tree)
{
    std::vector<int> ids;
    std::ranges::transform(tree.faults_, std::back_inserter(ids), &declaration_fault::id_);
    return ids;
}

}  // namespace

TEST_CASE("the examples are valid, since operators start from them")
{
    const auto tree = read_tree({std::filesystem::path(SOURCE_DIR) / "examples"});
    REQUIRE(ids_of(tree).empty());
    REQUIRE(tree.files_.size() == 3);
    const auto& dispatch = std::get<service_policy>(tree.files_.at(service_id{"dispatch"}).policy_);
    REQUIRE(dispatch.callers_.at(0).key_ == hash_key("driver-app-example-key"));
}

TEST_CASE("declarations are checked against each other")
{
    const scratch_directory directory;
    directory.write("fleet.toml", fleet_text);
    directory.write("a/a.cornelstall.toml", service_text("a", '1', "pickups"));
    directory.write("b/b.cornelstall.toml", service_text("b", '2', "bookings"));
    directory.write("b/README.toml", "not a declaration");
    REQUIRE(ids_of(read_tree({directory.path_})).empty());

    SECTION("a shared key would give one caller's requests the other one's weight and limits")
    {
        directory.write("b/b.cornelstall.toml", service_text("b", '1'));
        const auto tree = read_tree({directory.path_});
        REQUIRE(ids_of(tree) == std::vector{308});
        REQUIRE(tree.faults_.front().line_ == 7);
        REQUIRE(tree.faults_.front().field_ == "callers[0].key_sha256");
    }
    SECTION("a shared name would route calls to the wrong plain service")
    {
        directory.write("b/b.cornelstall.toml", service_text("b", '2', "pickups"));
        REQUIRE(ids_of(read_tree({directory.path_})) == std::vector{308});
    }
    SECTION("a service declared twice")
    {
        directory.write("c/c.cornelstall.toml", service_text("a", '3'));
        REQUIRE(ids_of(read_tree({directory.path_})) == std::vector{308});
    }
    SECTION("a model or rank that the fleet does not declare, each with its line")
    {
        directory.write("fleet.toml", "[models.folio]\nversion = \"1\"\n");
        const auto tree = read_tree({directory.path_});
        REQUIRE(ids_of(tree) == std::vector{309, 310, 309, 310});
        REQUIRE(tree.faults_.front().line_ == 2);
    }
    SECTION("floors that leave no room for bursts")
    {
        directory.write("fleet.toml", fleet_text + "[ranks.standard]\nfloor_percent = 40.5\n");
        REQUIRE(ids_of(read_tree({directory.path_})) == std::vector{311});
        directory.write("fleet.toml", fleet_text + "[ranks.standard]\nfloor_percent = 40\n");
        REQUIRE(ids_of(read_tree({directory.path_})).empty());
    }
    SECTION("without a fleet declaration models and ranks are not checked")
    {
        REQUIRE(ids_of(read_tree({directory.path_ / "a"})).empty());
    }
}

TEST_CASE("the faults of all files are collected in one pass")
{
    const scratch_directory directory;
    directory.write("a.cornelstall.toml", "x = \n");
    directory.write("b.cornelstall.toml", service_text("b", '2') + "y = 1\n");
    std::filesystem::create_directory(directory.path_ / "c.cornelstall.toml");
    REQUIRE(ids_of(read_tree({directory.path_})) == std::vector{303, 304, 301});
}

TEST_CASE("a path without declarations is a fault, since a misspelt path would seem valid")
{
    const scratch_directory directory;
    REQUIRE(ids_of(read_tree({directory.path_})) == std::vector{312});
    REQUIRE(ids_of(read_tree({directory.path_ / "missing"})) == std::vector{301});
    directory.write("other.toml", "");
    REQUIRE(ids_of(read_tree({directory.path_ / "other.toml"})) == std::vector{301});
}
