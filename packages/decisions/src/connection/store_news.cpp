#include "cornelstall/decisions/connection/store_news.hpp"

#include <algorithm>

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

void shorten(store_news& news, std::size_t most)
{
    if (news.changes_.size() <= most)
    {
        return;
    }
    const auto excess = static_cast<std::ptrdiff_t>(news.changes_.size() - most);
    news.list_from_ = news.changes_[static_cast<std::size_t>(excess) - 1].at_.next();
    news.changes_.erase(news.changes_.begin(), news.changes_.begin() + excess);
}

}  // namespace cornelstall
