#include <random>

#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"
#include "log_positions.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

const time_point now{std::chrono::hours{1}};

engine_profile small_engine()
{
    engine_profile profile;
    profile.slots_ = 10;
    profile.kv_capacity_ = token_count{405'000};
    profile.prefill_tokens_per_ms_ = 154.0;
    profile.decode_steps_per_pass_ = 53;
    return profile;
}

/// Ten engines and the requests that run on them.
struct fleet
{
    fleet()
    {
        for (int index = 0; index < 10; ++index)
        {
            listed_server entry;
            entry.id_ = server_id{"i-" + std::to_string(index)};
            entry.service_ = service_id{"s"};
            upsert_listed_server(directory_, entry, at_offset(1), now);
        }
        servers_ = ready_servers(directory_, service_id{"s"}, now);
    }

    void run(organisation_hash organisation, int requests)
    {
        for (int count = 0; count < requests; ++count)
        {
            engine_work work;
            work.key_ = execution_id{++last_key_};
            work.organisation_ = organisation;
            work.value_ = 1.0;
            add_work(load_.engines_[servers_[last_key_ % servers_.size()]->listed_.id_], work, now);
        }
    }

    [[nodiscard]] double min_benefit(organisation_hash organisation) const
    {
        return min_benefit_share(usage_of(load_, servers_, small_engine(), organisation));
    }

    server_directory directory_;
    fleet_load load_;
    std::vector<known_server*> servers_;
    std::uint64_t last_key_ = 0;
};

constexpr organisation_hash hot{1};

}  // namespace

TEST_CASE("the hash of an organisation is the same on all processors")
{
    // The published test value of XXH32 for this text.
    CHECK(hash_of(organisation_id{"abc"}) == organisation_hash{0x32D153FFU});
    CHECK(hash_of(organisation_id{"org-2"}) != hash_of(organisation_id{"org-1"}));
}

TEST_CASE("unused places are lent to an organisation that sends many times its usual")
{
    fleet engines;
    engines.run(hot, 40);
    engines.run(organisation_hash{2}, 4);
    CHECK(engines.min_benefit(hot) == 0.0);
}

TEST_CASE("while places are short an organisation beyond its share is limited, and the others are not")
{
    fleet engines;
    for (std::uint32_t organisation = 2; organisation < 12; ++organisation)
    {
        engines.run(organisation_hash{organisation}, 4);
    }
    engines.run(hot, 40);
    CHECK(engines.min_benefit(hot) > 0.3);
    CHECK(engines.min_benefit(organisation_hash{2}) == 0.0);
    CHECK(engines.min_benefit(organisation_hash{99}) == 0.0);
}

// Arrivals of twelve organisations for 30 s; from second 5 on one of them sends 7.5 times its usual. A request runs 1.6
// s and is refused when no slot is free or when its benefit is below the least one.
TEST_CASE("calm organisations keep their worth beside one that sends 7.5 times its usual")
{
    struct outcome
    {
        int calm_asked_ = 0;
        int calm_served_ = 0;
    };
    const auto replay = [](bool limited, double factor) {
        fleet engines;
        std::mt19937_64 random(11);
        outcome seen;
        std::vector<std::pair<int, execution_id>> ends;
        constexpr int step_ms = 10;
        for (int at_ms = 0; at_ms < 30'000; at_ms += step_ms)
        {
            std::erase_if(ends, [&](const auto& entry) {
                if (entry.first > at_ms)
                {
                    return false;
                }
                for (auto& [id, engine] : engines.load_.engines_)
                {
                    remove_work(engine, entry.second);
                }
                return true;
            });
            for (std::uint32_t organisation = 1; organisation <= 12; ++organisation)
            {
                const bool is_hot = organisation == 1 && at_ms >= 5000;
                const double rate = 4.0 * (is_hot ? factor : 1.0) * step_ms / 1000.0;
                if (std::uniform_real_distribution<double>(0.0, 1.0)(random) >= rate)
                {
                    continue;
                }
                const auto usage =
                    usage_of(engines.load_, engines.servers_, small_engine(), organisation_hash{organisation});
                // A place on crowded engines slows the streams there, so it brings less.
                const double benefit = 1.0 - usage.slots_used_share_ * 0.6;
                const bool served = usage.slots_used_share_ < 1.0 && (!limited || benefit >= min_benefit_share(usage));
                seen.calm_asked_ += organisation != 1 ? 1 : 0;
                seen.calm_served_ += organisation != 1 && served ? 1 : 0;
                if (served)
                {
                    engines.run(organisation_hash{organisation}, 1);
                    ends.emplace_back(at_ms + 1600, execution_id{engines.last_key_});
                }
            }
        }
        return static_cast<double>(seen.calm_served_) / seen.calm_asked_;
    };
    const double calm = replay(true, 1.0);
    CHECK(replay(true, 7.5) >= 0.9 * calm);
    CHECK(replay(false, 7.5) < 0.9 * calm);
}
