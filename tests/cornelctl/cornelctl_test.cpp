#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "cornelstall/standins.hpp"

using namespace cornelstall;

namespace
{

const std::string program = CORNELCTL;
const std::string examples = std::string(SOURCE_DIR) + "/examples";

struct ended_command
{
    int exit_code_ = -1;
    std::string output_;  ///< standard output and standard error
};

/// Runs cornelctl with `arguments`, after `before` in the same shell line.
ended_command run(const std::string& arguments, const std::string& before = "")
{
    ended_command ended;
    // NOLINTNEXTLINE(cert-env33-c): the line is made of constants of this file.
    auto* const pipe = popen((before + program + " " + arguments + " 2>&1").c_str(), "r");
    REQUIRE(pipe != nullptr);
    std::array<char, 4096> buffer{};
    while (fgets(buffer.data(), static_cast<int>(buffer.size()), pipe) != nullptr)
    {
        ended.output_ += buffer.data();
    }
    ended.exit_code_ = WEXITSTATUS(pclose(pipe));
    return ended;
}

}  // namespace

TEST_CASE("exit codes tell scripts what happened")
{
    REQUIRE(run("--help").exit_code_ == 0);
    REQUIRE(run("--version").exit_code_ == 0);
    REQUIRE(run("check " + examples).exit_code_ == 0);
    REQUIRE(run("check " + examples + "/missing").exit_code_ == 2);
    REQUIRE(run("check").exit_code_ == 2);
    REQUIRE(run("unknown-command").exit_code_ == 2);
    REQUIRE(run("publish --time-limit 0 " + examples).exit_code_ == 2);
    REQUIRE(run("publish --time-limit 1 --log http://127.0.0.1:1 " + examples).exit_code_ == 3);
    REQUIRE(run("status --entry http://127.0.0.1:1 --operator-key k").exit_code_ == 3);
    REQUIRE(run("explain ../status --entry http://127.0.0.1:1 --operator-key k").exit_code_ == 2);
}

TEST_CASE("the key that is hashed comes from standard input, where other users cannot see it")
{
    const auto ended = run("hash-key", "echo abc | ");
    REQUIRE(ended.exit_code_ == 0);
    REQUIRE(ended.output_ == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad\n");
    REQUIRE(run("hash-key", "printf '' | ").exit_code_ == 2);
}

TEST_CASE("a publication reaches the log, and 'in force' is said only when entry processes confirm it")
{
    const auto log = standins::start_log({}, socket_address{"127.0.0.1:0"});
    const auto publish = "publish --log http://" + log.address().get() + " " + examples;
    const auto first = run(publish);
    REQUIRE(first.exit_code_ == 0);
    REQUIRE(first.output_ == "accepted as version 1\n");
    REQUIRE(run(publish).output_.find("nothing to publish") == 0);

    const auto waited = run(publish + " --wait --time-limit 1 --entry http://127.0.0.1:1 --operator-key k");
    REQUIRE(waited.exit_code_ == 3);
    REQUIRE(waited.output_.find("0 of 1 listed members have version 1") != std::string::npos);
    REQUIRE(waited.output_.find("is in force") == std::string::npos);
}
