#include "request/answer_text.hpp"

#include <array>
#include <numeric>

namespace cornelstall::standins
{

namespace
{

constexpr std::array<std::string_view, 32> words{"the",  "van",  "left",  "with", "nine", "red",    "box",  "and",
                                                 "case", "file", "was",   "sent", "by",   "noon",   "to",   "a",
                                                 "far",  "hub",  "where", "one",  "more", "load",   "must", "go",
                                                 "on",   "time", "until", "all",  "is",   "signed", "for",  "now"};

/// Finalizer of SplitMix64: spreads neighbouring part numbers over all words.
std::uint64_t mix(std::uint64_t value) noexcept
{
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

}  // namespace

answer_seed seed_of(std::string_view prompt) noexcept
{
    // FNV-1a; std::hash need not agree between processes.
    constexpr std::uint64_t basis = 0xcbf29ce484222325U;
    constexpr std::uint64_t prime = 0x100000001b3U;
    return answer_seed{std::accumulate(prompt.begin(), prompt.end(), basis, [](std::uint64_t hash, char c) {
        return (hash ^ static_cast<unsigned char>(c)) * prime;
    })};
}

std::string part_text(answer_seed seed, part_number part)
{
    const std::uint64_t value = mix(seed.get() ^ mix(part.get()));
    std::string text{words.at(value % words.size())};
    return (part == part_number{} ? "" : " ") + text;
}

}  // namespace cornelstall::standins
