#include <xxhash.h>

#include <algorithm>
#include <string_view>
#include <utility>

#include "cornelstall/decisions/process/membership.hpp"

namespace cornelstall
{

namespace
{

using score = std::uint64_t;

/// Rendezvous-hashing score of a candidate; the id breaks ties between equal hashes.
std::pair<score, std::string_view> score_of(score key_hash, const member& candidate)
{
    const std::string& id = candidate.id_.get();
    return {XXH3_64bits_withSeed(id.data(), id.size(), key_hash), id};
}

score hash_of(const std::string& key)
{
    return XXH3_64bits(key.data(), key.size());
}

}  // namespace

std::optional<vm_id> rendezvous_owner(const std::string& key, const std::vector<member>& candidates)
{
    const score key_hash = hash_of(key);
    const auto best = std::ranges::max_element(candidates, {},
                                               [&](const member& candidate) { return score_of(key_hash, candidate); });
    return best == candidates.end() ? std::nullopt : std::optional(best->id_);
}

std::vector<member> highest_scoring_members(const std::string& key, std::vector<member> candidates, std::size_t count)
{
    const score key_hash = hash_of(key);
    const auto by_score = [&](const member& left, const member& right) {
        return score_of(key_hash, left) > score_of(key_hash, right);
    };
    const std::size_t kept = std::min(count, candidates.size());
    std::ranges::partial_sort(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(kept), by_score);
    candidates.resize(kept);
    return candidates;
}

}  // namespace cornelstall
