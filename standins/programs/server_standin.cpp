#include <cxxopts.hpp>

#include "cornelstall/standins.hpp"
#include "program.hpp"

int main(int argc, char** argv)
{
    using namespace cornelstall;
    cxxopts::Options options{"server_standin", "Stand-in of one of the users' backend servers"};
    options.add_options()("listen", "address to listen on, ip:port", cxxopts::value<std::string>())(
        "id", "name of the server in the store", cxxopts::value<std::string>()->default_value("server"))(
        "slots", "requests at once", cxxopts::value<int>()->default_value("8"))(
        "duration-ms", "of a plain call and before each event", cxxopts::value<int>()->default_value("15"))(
        "events", "of a generation", cxxopts::value<int>()->default_value("10"))(
        "memory", "tokens of all reservations", cxxopts::value<std::int64_t>()->default_value("400000"))(
        "journal", "file for a line of each request", cxxopts::value<std::string>()->default_value(""));
    return standins::run_program(options, argc, argv, [](const cxxopts::ParseResult& flags) {
        const standins::server_settings settings{.id_ = server_id{flags["id"].as<std::string>()},
                                                 .slots_ = flags["slots"].as<int>(),
                                                 .duration_ = milliseconds{flags["duration-ms"].as<int>()},
                                                 .events_ = flags["events"].as<int>(),
                                                 .memory_ = token_count{flags["memory"].as<std::int64_t>()},
                                                 .journal_ = flags["journal"].as<std::string>()};
        return start_server(settings, socket_address{flags["listen"].as<std::string>()});
    });
}
