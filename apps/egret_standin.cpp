// egret-standin replaces the platform in the demo, in tests and in measurements.
//
//     egret-standin platform --port 19000
//     egret-standin worker --first-port 20000 --count 4 --slots 8
//
// It runs until SIGTERM or SIGINT and keeps all data in memory.

#include "io/command_line.hpp"
#include "io/daemon.hpp"
#include "io/standin_server.hpp"

namespace po = boost::program_options;
using namespace egretledge;
using namespace egretledge::standin;

namespace
{

struct arguments
{
    std::string role;
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::uint16_t first_port = 20000;
    std::uint16_t count = 1;
    std::uint32_t slots = 8;
    unsigned threads = 1;
};

int serve(const arguments& args)
{
    boost::asio::io_context context;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
    http_server_settings http;
    http.address = args.address;
    http.body_limit = 256ULL << 20;
    std::unique_ptr<platform_server> platform;
    std::vector<std::unique_ptr<worker_server>> workers;
    if (args.role == "platform")
    {
        http.port = args.port;
        platform = std::make_unique<platform_server>(context, http);
        std::cout << "port=" << platform->port() << std::endl;
    }
    else
        for (std::uint16_t i = 0; i < args.count; ++i)
        {
            http.port = static_cast<std::uint16_t>(args.first_port + i);
            worker_settings settings;
            settings.name = "port-" + std::to_string(http.port);
            settings.slots = args.slots;
            settings.incarnation = static_cast<std::uint64_t>(read_clocks().wall.count());
            workers.push_back(std::make_unique<worker_server>(context, http, settings));
        }
    std::vector<std::thread> threads;
    for (unsigned t = 1; t < args.threads; ++t)
        threads.emplace_back([&] { context.run(); });
    context.run();
    for (auto& thread : threads)
        thread.join();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    arguments args;
    po::options_description options("egret-standin platform|worker [options]");
    options.add_options()("help", "print this")("role", po::value(&args.role),
                                                "platform or worker")(
        "address", po::value(&args.address),
        "IP to listen at")("port", po::value(&args.port), "port of the platform; 0: any free port")(
        "first-port", po::value(&args.first_port),
        "port of the first worker")("count", po::value(&args.count), "number of workers")(
        "slots", po::value(&args.slots), "slots per worker")("threads", po::value(&args.threads),
                                                             "number of threads");
    po::positional_options_description positions;
    positions.add("role", 1);
    po::variables_map values;
    if (const auto code = egretledge::read_options(argc, argv, options, values, positions))
        return *code;
    if (args.role != "platform" && args.role != "worker")
    {
        std::cerr << "the role is platform or worker; see --help\n";
        return egretledge::exit_usage;
    }
    try
    {
        return serve(args);
    }
    catch (const std::exception& e)
    {
        std::cerr << e.what() << "; see --help\n";
        return 2;
    }
}
