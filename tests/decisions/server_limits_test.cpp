#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"
#include "log_positions.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

const time_point start{std::chrono::hours{1}};
const server_id limited{"server-1"};
constexpr std::uint64_t lifetime = 7;

time_point at(int ms)
{
    return start + milliseconds{ms};
}

bool has_limit(const server_limits& limits)
{
    return limits.limits_.contains(limited);
}

server_directory directory_with(int servers)
{
    server_directory directory;
    for (int index = 1; index <= servers; ++index)
    {
        listed_server server;
        server.id_ = server_id{"server-" + std::to_string(index)};
        server.service_ = service_id{"s"};
        server.started_at_ms_ = lifetime;
        upsert_listed_server(directory, server, at_offset(static_cast<std::uint64_t>(index)), start);
    }
    return directory;
}

/// Names the limit of `limited` in @a directory at @a now and computes the share of a VM that knows no other VM.
void name_limit(server_directory& directory, double per_s, time_point now)
{
    record_limit(directory.limits_, limited, lifetime, request_rate{per_s}, now);
    update_limit_shares(directory, {}, vm_id{"vm-1"}, now);
}

}  // namespace

TEST_CASE("an answer from before a limit does not end it, and an answer to a later request does")
{
    server_limits limits;
    CHECK(record_limit(limits, limited, lifetime, request_rate{2}, at(1000)) == limit_change::named);
    CHECK(record_limit(limits, limited, lifetime, request_rate{2}, at(1010)) == limit_change::none);
    CHECK(record_limit(limits, limited, lifetime, request_rate{3}, at(1020)) == limit_change::named);
    CHECK(record_no_limit(limits, limited, lifetime, at(990), at(1030)) == limit_change::none);
    CHECK(record_no_limit(limits, limited, lifetime + 1, at(1025), at(1030)) == limit_change::none);
    REQUIRE(has_limit(limits));
    CHECK(record_no_limit(limits, limited, lifetime, at(1025), at(1030)) == limit_change::ended);
    CHECK_FALSE(has_limit(limits));
}

TEST_CASE("a server's limit does not hold for its next lifetime")
{
    auto directory = directory_with(1);
    name_limit(directory, 0.2, at(0));
    const auto& server = directory.servers_.at(limited);
    while (take_from_limit(directory, limited, at(10)))
    {}
    CHECK_FALSE(is_within_limit(directory, server, at(10)));
    auto entry = server.listed_;
    entry.started_at_ms_ = lifetime + 1;
    upsert_listed_server(directory, entry, at_offset(9), at(20));
    CHECK(is_within_limit(directory, directory.servers_.at(limited), at(30)));
}

TEST_CASE("of reports about a limit the latest statement holds")
{
    server_limits first;
    server_limits second;
    record_limit(first, limited, lifetime, request_rate{2}, at(1000));
    const auto named = limits_to_report(first, at(1010));
    REQUIRE(merge_reported_limits(second, named, at(1010)).size() == 1);
    CHECK(has_limit(second));
    CHECK(merge_reported_limits(second, named, at(1020)).empty());
    record_no_limit(first, limited, lifetime, at(1500), at(1600));
    const auto ended = limits_to_report(first, at(1610));
    REQUIRE(merge_reported_limits(second, ended, at(1610)).size() == 1);
    CHECK_FALSE(has_limit(second));
    // A report that is older than the end arrives late.
    CHECK(merge_reported_limits(second, named, at(1620)).empty());
    CHECK_FALSE(has_limit(second));
}

TEST_CASE("a limit that is confirmed is reported again, and one that nobody confirms is dropped")
{
    server_limits limits;
    record_limit(limits, limited, lifetime, request_rate{2}, at(0));
    CHECK(limits_to_report(limits, at(5000)).empty());
    record_limit(limits, limited, lifetime, request_rate{2}, at(5000));
    CHECK(limits_to_report(limits, at(5010)).size() == 1);
    drop_old_limits(limits, at(60'000));
    CHECK(has_limit(limits));
    drop_old_limits(limits, at(200'000));
    CHECK_FALSE(has_limit(limits));
}

TEST_CASE("a VM sends to a limited server at its rate, and still now and then when the limit is 0")
{
    for (const double per_s : {0.0, 0.5, 2.0, 20.0})
    {
        auto directory = directory_with(1);
        name_limit(directory, per_s, at(0));
        std::size_t sent = 0;
        constexpr int minute_ms = 60'000;
        for (int ms = 0; ms < minute_ms; ms += 10)
        {
            sent += take_from_limit(directory, limited, at(ms)) ? 1 : 0;
        }
        INFO("limit " << per_s << ", sent " << sent);
        CHECK(sent >= 1);
        CHECK(static_cast<double>(sent) <= 60.0 * std::max(per_s, 0.1) + 5.0 + 2.0 * per_s);
        CHECK(static_cast<double>(sent) >= 60.0 * per_s * 0.8);
    }
}

TEST_CASE("a server whose limit is used up is no candidate, and the others are")
{
    auto directory = directory_with(2);
    name_limit(directory, 0.5, at(0));
    start_allowance(directory.limits_.limits_.at(limited), 0.0, at(20));
    choice_request request;
    request.service_ = service_id{"s"};
    request.vm_ = vm_id{"vm-1"};
    const auto candidates = candidate_servers(directory, request, at(20));
    REQUIRE(candidates.size() == 1);
    CHECK(candidates.front()->listed_.id_ == server_id{"server-2"});
    const auto wait = time_until_within_limit(directory, request.service_, {}, at(20));
    REQUIRE(wait);
    CHECK(*wait == milliseconds{2000});
    CHECK_FALSE(time_until_within_limit(directory, request.service_, {limited}, at(20)));
}
