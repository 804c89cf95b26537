#include "cornelstall/runtime/version/configuration_log.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "cornelstall/wire/version/configuration_codec.hpp"

namespace cornelstall
{

configuration_log configuration_log_of(const log_service& service)
{
    const std::string stream{configuration_stream};
    return {[service, stream](log_offset from, int limit, milliseconds wait) {
                return read(service, stream, from, limit, wait);
            },
            [service, stream](std::vector<std::string> records) {
                return append(service, stream, std::move(records));
            }};
}

std::vector<configuration_entry> decode_page(const log_page& page)
{
    std::vector<configuration_entry> entries;
    std::ranges::transform(page.records_, std::back_inserter(entries), [](const log_record& record) {
        return configuration_entry{record.offset_, decode_configuration(record.data_)};
    });
    return entries;
}

task<log_page> read_page(configuration_log log, configuration_replay& replay, parse_function parse, int records,
                         milliseconds wait)
{
    auto page = co_await log.read_(next_read_offset(replay), records, wait);
    const auto entries = decode_page(page);
    apply_page(replay, entries, page.oldest_, parse);
    co_return page;
}

}  // namespace cornelstall
