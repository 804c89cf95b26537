#include "cornelstall/decisions/connection/log_update.hpp"

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

milliseconds log_poll_delay(std::size_t rank)
{
    if (rank == 0)
    {
        return first_reader_age;
    }
    const auto steps = static_cast<std::int64_t>(std::min<std::size_t>(rank, 1000));
    return std::min(last_reader_age, second_reader_age + rank_step * steps);
}

std::vector<log_update> split_log_update(const log_update& news, std::size_t most)
{
    std::vector<log_update> parts;
    auto from = news.changes_begin_;
    auto rest = std::span(news.changes_);
    while (rest.size() > most)
    {
        log_update part = news;
        part.server_list_age_.reset();
        part.changes_begin_ = from;
        part.changes_end_ = rest[most - 1].at_.next();
        part.changes_.assign(rest.begin(), rest.begin() + static_cast<std::ptrdiff_t>(most));
        from = part.changes_end_;
        rest = rest.subspan(most);
        parts.push_back(std::move(part));
    }
    log_update last = news;
    last.changes_begin_ = from;
    last.changes_.assign(rest.begin(), rest.end());
    parts.push_back(std::move(last));
    return parts;
}

void drop_changes_before(log_update& news, log_offset from)
{
    news.changes_begin_ = std::max(news.changes_begin_, std::min(from, news.changes_end_));
    std::erase_if(news.changes_,
                  [&news](const server_list_change& change) { return change.at_ < news.changes_begin_; });
}

}  // namespace cornelstall
