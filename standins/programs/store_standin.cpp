#include <cxxopts.hpp>

#include "cornelstall/standins.hpp"
#include "program.hpp"

int main(int argc, char** argv)
{
    using namespace cornelstall;
    cxxopts::Options options{"store_standin", "Stand-in of the users' metadata store"};
    options.add_options()("listen", "address to listen on, ip:port", cxxopts::value<std::string>())(
        "kept-records", "records of a topic that are kept", cxxopts::value<std::size_t>()->default_value("100000"));
    return standins::run_program(options, argc, argv, [](const cxxopts::ParseResult& flags) {
        const standins::store_settings settings{.kept_records_ = flags["kept-records"].as<std::size_t>()};
        return start_store(settings, socket_address{flags["listen"].as<std::string>()});
    });
}
