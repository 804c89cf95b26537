#include "cornelstall/decisions/connection/store_news.hpp"

#include <algorithm>
#include <span>

namespace cornelstall
{

namespace
{

/// The first VM reads at this age; a server that leaves must get no request two seconds after it said so.
constexpr milliseconds first_reader_age{600};
/// The second VM steps in when a read of the first one and its report are overdue.
constexpr milliseconds second_reader_age{1000};
/// Each further VM waits a little longer, so that a fleet that lost its readers does not read all at once.
constexpr milliseconds rank_step{20};
constexpr milliseconds last_reader_age{1500};

}  // namespace

milliseconds read_after(std::size_t rank)
{
    if (rank == 0)
    {
        return first_reader_age;
    }
    const auto steps = static_cast<std::int64_t>(std::min<std::size_t>(rank, 1000));
    return std::min(last_reader_age, second_reader_age + rank_step * steps);
}

std::vector<store_news> split_news(const store_news& news, std::size_t most)
{
    std::vector<store_news> parts;
    auto from = news.list_from_;
    auto rest = std::span(news.changes_);
    while (rest.size() > most)
    {
        store_news part = news;
        part.list_age_.reset();
        part.list_from_ = from;
        part.list_next_ = rest[most - 1].at_.next();
        part.changes_.assign(rest.begin(), rest.begin() + static_cast<std::ptrdiff_t>(most));
        from = part.list_next_;
        rest = rest.subspan(most);
        parts.push_back(std::move(part));
    }
    store_news last = news;
    last.list_from_ = from;
    last.changes_.assign(rest.begin(), rest.end());
    parts.push_back(std::move(last));
    return parts;
}

void drop_changes_before(store_news& news, log_offset from)
{
    news.list_from_ = std::max(news.list_from_, std::min(from, news.list_next_));
    std::erase_if(news.changes_, [&news](const server_change& change) { return change.at_ < news.list_from_; });
}

}  // namespace cornelstall
