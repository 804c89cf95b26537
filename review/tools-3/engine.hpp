#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "fleet.hpp"

namespace review
{

/// Memory that a model server has set aside.
struct ticket
{
    std::int64_t tokens_ = 0;
    std::int64_t expires_ms_ = 0;
    bool used_ = false;
};

/// A stand-in of a model server: sets memory aside as PROTOCOL.md says and answers streams in one piece.
class engine
{
  public:
    engine(platform_store& store, recorder& record, std::string id, std::string zone, const std::string& ip);
    void start(int interval_ms);

    /// Orders that are not answered and are carried out late: their numbers, from 0, and their delays in milliseconds.
    void treat_late(std::map<int, int> delays_ms);

    /// Ends the requests that are at work, as a server does when their connections close.
    void drop_requests();

    /// The time spans, on the clock of `now_ms`, in which memory was set aside and no request used it.
    [[nodiscard]] std::vector<std::pair<std::int64_t, std::int64_t>> unused_spans();

    [[nodiscard]] int orders() const
    {
        return orders_;
    }
    [[nodiscard]] const std::string& address() const
    {
        return service_.address();
    }
    void use(const std::string& reservation, bool used);

  private:
    response serve(const request& call);
    response serve_order(const request& call);
    response serve_report(const request& call);
    response serve_stream(const request& call);
    http::status carry_out(const json& order);
    void watch_memory();

    platform_store& store_;
    recorder& record_;
    std::string id_;
    std::string zone_;
    std::mutex mutex_;
    std::map<std::string, ticket> tickets_;
    std::vector<std::pair<std::int64_t, std::int64_t>> unused_;
    std::atomic<int> orders_{0};
    std::map<int, int> late_delays_ms_;
    std::atomic<bool> dropped_{false};
    std::int64_t born_ms_ = 0;
    http_service service_;
};

/// All engines, which name each other's tickets in requests.
std::vector<engine*>& all_engines();

}  // namespace review
