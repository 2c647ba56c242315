// The commands of egretctl: a table of functions with their usage texts.
//
// The publishing commands read the whole stream of publications and evaluate it with the same code
// as the hosts, so that "accepted" means the same in both places. An append whose answer is lost is
// never retried: the stream is read until the publication's id appears or the time limit passes.

#include "ctl/commands.hpp"
#include "core/config_follower.hpp"
#include "core/node.hpp"
#include "core/wire.hpp"
#include "io/codec.hpp"
#include "io/daemon.hpp"
#include "io/dump_json.hpp"
#include "io/http_client.hpp"
#include <array>
#include <boost/program_options.hpp>
#include <fstream>
#include <iomanip>
#include <ostream>
#include <random>
#include <sstream>
#include <thread>
#include <zmq.hpp>

namespace egretledge::ctl
{

namespace po = boost::program_options;
namespace json = boost::json;

namespace
{

// Responses with this HTTP status or a higher one count as refused.
constexpr unsigned min_error_status = 300;
// Delay between two reads of the log or of the hosts' states while a command waits.
constexpr std::chrono::milliseconds poll_interval{100};

// The parsed command line. Option --limit-ms sets `timeout_ms`.
struct arguments
{
    std::string command;
    std::vector<std::string> operands;
    std::string platform = "127.0.0.1:19000";
    std::string host;
    std::string token;
    std::string key;
    std::string author;
    std::string service;
    std::uint64_t base = 0;
    std::uint32_t tasks = 1;
    std::uint32_t size_ms = 50;
    std::uint32_t deadline_ms = 0;
    std::uint32_t timeout_ms = 10000;
    bool dry_run = false;
    bool wait = false;
    bool as_json = false;

    // Returns the operand at this index, or an empty string if it was not given.
    const std::string& operand(std::size_t index) const
    {
        static const std::string none;
        return index < operands.size() ? operands[index] : none;
    }
};

// What a command gets: its arguments and the streams for output and errors.
struct command_context
{
    const arguments& args;
    std::ostream& out;
    std::ostream& err;
};

// A row of the command table. A usage text that begins with a capital letter means that the command
// needs an operand; see run().
struct command
{
    const char* name;
    int (*run)(const command_context&);
    const char* usage;
    const char* help;
    const char* example;
};

int print_error(const command_context& c, const error& e)
{
    c.err << name_of(e.kind) << ": " << e.message << '\n';
    return failed;
}

std::string random_id()
{
    std::random_device random;
    std::ostringstream text;
    text << std::hex << random() << random();
    return text.str();
}

// Sends an HTTP request and returns the body of the response. A response with an error status is an
// error of kind `refused`, unless `any_status` is set.
expected<std::string> send_request(const std::string& address, const std::string& target,
                                   const std::string& token = {}, const std::string& method = "GET",
                                   std::string body = {}, const std::string& key = {},
                                   milliseconds timeout = milliseconds{5000},
                                   bool any_status = false)
{
    http_call call;
    call.address = address;
    call.method = method;
    call.target = target;
    call.bearer = token;
    call.body = std::move(body);
    call.idempotency_key = key;
    call.timeout = timeout;
    auto reply = http_send(std::move(call));
    if (!reply)
        return tl::make_unexpected(reply.error());
    if (!any_status && reply->status >= min_error_status)
        return tl::make_unexpected(error{
            error_kind::refused, "status " + std::to_string(reply->status) + ": " + reply->body});
    return std::move(reply->body);
}

// Reads the stream of publications from its start to its current end.
expected<config_follower> read_publications(const arguments& args)
{
    config_follower reader;
    for (;;)
    {
        const auto from = reader.next_offset();
        const auto body =
            send_request(args.platform,
                         "/v1/streams/config/records?from=" + std::to_string(from) + "&wait_ms=0");
        if (!body)
            return tl::make_unexpected(body.error());
        const auto page = page_from_json(*body);
        if (!page)
            return tl::make_unexpected(page.error());
        reader.on_page(*page);
        if (page->entries.empty())
            return reader;
    }
}

std::vector<config_object> objects_of(const config_follower& reader)
{
    return reader.current() ? reader.current()->objects : std::vector<config_object>{};
}

int print_faults(const command_context& c, const std::vector<config_fault>& faults)
{
    for (const auto& fault : faults)
        c.err << describe(fault) << '\n';
    c.err << faults.size() << " faults; nothing was published\n";
    return invalid_objects;
}

int check(const command_context& c)
{
    const auto objects = load_directory(c.args.operand(0));
    if (!objects)
        return print_faults(c, objects.error());
    const auto built = build_configuration(*objects, 1);
    if (!built)
        return print_faults(c, built.error());
    c.out << objects->size() << " objects, " << built->executors.size() << " executors: good\n";
    return done;
}

expected<host_listing> read_listing(const command_context& c)
{
    const auto body = send_request(c.args.platform, "/v1/hosts");
    if (!body)
        return tl::make_unexpected(body.error());
    return listing_from_json(*body);
}

expected<node_dump> read_dump(const command_context& c, const listed_host& host)
{
    const auto body = send_request(host.http_address, "/statez", c.args.token);
    if (!body)
        return tl::make_unexpected(body.error());
    return dump_from_json(*body);
}

void print_difference(const command_context& c, const config_difference& change)
{
    for (const auto& object : change.changed)
        c.out << "+ " << object.kind << ' ' << object.name << ' ' << object.body << '\n';
    for (const auto& object : change.removed)
        c.out << "- " << object.kind << ' ' << object.name << '\n';
}

// Waits until this revision or a later one is in force on every listed host. A host that reached it
// once is not queried again.
int wait_in_force(const command_context& c, std::uint64_t revision,
                  std::chrono::steady_clock::time_point until)
{
    std::vector<std::string> reached;
    for (;;)
    {
        const auto listing = read_listing(c);
        std::size_t missing = listing ? 0 : 1;
        for (const auto& host : listing ? listing->hosts : std::vector<listed_host>{})
        {
            if (std::find(reached.begin(), reached.end(), host.name) != reached.end())
                continue;
            const auto dump = read_dump(c, host);
            if (!dump || dump->revision < revision)
            {
                ++missing;
                continue;
            }
            reached.push_back(host.name);
            c.out << host.name << ": revision " << dump->revision << " in force\n";
        }
        if (missing == 0)
            return done;
        if (std::chrono::steady_clock::now() > until)
        {
            c.err << missing << " hosts have not reached revision " << revision
                  << " within the limit; see 'egretctl status'\n";
            return timed_out;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

// Appends the publication once, then polls the stream until it shows the verdict. The append is not
// retried when its answer is lost, since it may have taken effect. Fails at once only if the
// platform is unreachable.
int append_and_await_verdict(const command_context& c, const wire::LogRecord& record)
{
    const auto until =
        std::chrono::steady_clock::now() + std::chrono::milliseconds{c.args.timeout_ms};
    const auto& id = record.publication().id();
    http_call call;
    call.address = c.args.platform;
    call.target = "/v1/streams/config/records";
    call.body = record.SerializeAsString();
    call.content_type = "application/octet-stream";
    const auto appended = http_send(std::move(call));
    if (!appended && appended.error().kind == error_kind::unreachable)
        return print_error(c, appended.error());
    while (std::chrono::steady_clock::now() < until)
    {
        const auto reader = read_publications(c.args);
        for (const auto& publication :
             reader ? reader->history() : std::deque<evaluated_publication>{})
        {
            if (publication.id != id)
                continue;
            if (publication.verdict == publication_verdict::accepted)
            {
                c.out << "revision " << publication.revision << " accepted, publication " << id
                      << '\n';
                return c.args.wait ? wait_in_force(c, publication.revision, until) : done;
            }
            c.err << "lost: " << boost::describe::enum_to_string(publication.verdict, "?") << ' '
                  << publication.detail;
            for (const auto& object : publication.objects)
                c.err << "; " << object;
            c.err << "; look at 'egretctl diff', then publish again\n";
            return publication_conflict;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    c.err << "publication " << id << " was not seen in the log within the limit; look for it with "
          << "'egretctl history' before publishing again\n";
    return timed_out;
}

wire::LogRecord make_record(const command_context& c, const config_difference& change,
                            std::uint64_t base)
{
    return make_publication(random_id(), c.args.author, base, change);
}

int publish(const command_context& c)
{
    const auto objects = load_directory(c.args.operand(0));
    if (!objects)
        return print_faults(c, objects.error());
    const auto built = build_configuration(*objects, 1);
    if (!built)
        return print_faults(c, built.error());
    const auto reader = read_publications(c.args);
    if (!reader)
        return print_error(c, reader.error());
    const auto change = difference(objects_of(*reader), *objects);
    const auto base = c.args.base > 0 ? c.args.base : reader->revision();
    if (c.args.dry_run || change.empty())
    {
        print_difference(c, change);
        c.out << (change.empty() ? "no difference" : "dry run") << " against revision "
              << reader->revision() << '\n';
        return done;
    }
    return append_and_await_verdict(c, make_record(c, change, base));
}

int diff(const command_context& c)
{
    const auto objects = load_directory(c.args.operand(0));
    if (!objects)
        return print_faults(c, objects.error());
    const auto reader = read_publications(c.args);
    if (!reader)
        return print_error(c, reader.error());
    print_difference(c, difference(objects_of(*reader), *objects));
    return done;
}

int history(const command_context& c)
{
    const auto reader = read_publications(c.args);
    if (!reader)
        return print_error(c, reader.error());
    json::array lines;
    for (const auto& p : reader->history())
    {
        const auto* verdict = boost::describe::enum_to_string(p.verdict, "?");
        lines.push_back({{"offset", p.offset},
                         {"revision", p.revision},
                         {"verdict", verdict},
                         {"id", p.id},
                         {"author", p.author},
                         {"objects", p.objects.size()},
                         {"detail", p.detail}});
        if (!c.args.as_json)
            c.out << std::setw(8) << p.offset << std::setw(8) << p.revision << "  " << std::left
                  << std::setw(14) << verdict << std::setw(18) << p.id << p.author << ' '
                  << p.objects.size() << " objects " << p.detail << std::right << '\n';
    }
    if (c.args.as_json)
        c.out << json::serialize(lines) << '\n';
    return done;
}

// Returns the objects in force at an earlier revision. Applies the stream's records one by one
// until that revision is reached.
expected<std::vector<config_object>> objects_at(const arguments& args, std::uint64_t revision)
{
    config_follower reader;
    for (;;)
    {
        const auto body =
            send_request(args.platform, "/v1/streams/config/records?from=" +
                                            std::to_string(reader.next_offset()) + "&wait_ms=0");
        if (!body)
            return tl::make_unexpected(body.error());
        const auto page = page_from_json(*body);
        if (!page)
            return tl::make_unexpected(page.error());
        if (page->entries.empty())
            return tl::make_unexpected(
                error{error_kind::not_found, "revision " + std::to_string(revision) +
                                                 " is not in the log; see 'egretctl history'"});
        for (const auto& entry : page->entries)
        {
            reader.on_page({page->first_kept, entry.offset + 1, {entry}});
            if (reader.revision() == revision)
                return objects_of(reader);
        }
    }
}

int rollback(const command_context& c)
{
    const auto revision = std::strtoull(c.args.operand(0).c_str(), nullptr, 10);
    const auto earlier_objects = objects_at(c.args, revision);
    if (!earlier_objects)
        return print_error(c, earlier_objects.error());
    const auto reader = read_publications(c.args);
    if (!reader)
        return print_error(c, reader.error());
    const auto change = difference(objects_of(*reader), *earlier_objects);
    print_difference(c, change);
    if (change.empty() || c.args.dry_run)
        return done;
    return append_and_await_verdict(c, make_record(c, change, reader->revision()));
}

int status(const command_context& c)
{
    const auto listing = read_listing(c);
    if (!listing)
        return print_error(c, listing.error());
    json::array lines;
    if (!c.args.as_json)
        c.out << std::left << std::setw(16) << "host" << std::setw(16) << "data centre"
              << std::setw(8) << "ready" << std::setw(10) << "revision" << std::setw(8) << "shards"
              << std::setw(8) << "jobs" << std::setw(8) << "queued"
              << "leaving\n";
    for (const auto& host : listing->hosts)
    {
        const auto dump = read_dump(c, host);
        if (!dump)
        {
            lines.push_back({{"host", host.name}, {"error", dump.error().message}});
            if (!c.args.as_json)
                c.out << std::setw(16) << host.name << dump.error().message << '\n';
            continue;
        }
        const auto serving = std::count_if(dump->shards.begin(), dump->shards.end(),
                                           [](const shard_status& s) { return s.serving; });
        lines.push_back({{"host", host.name},
                         {"data_centre", host.data_centre},
                         {"ready", dump->ready},
                         {"revision", dump->revision},
                         {"shards", serving},
                         {"open_jobs", dump->open_jobs},
                         {"queued_tasks", dump->queued_tasks},
                         {"leaving", dump->leaving}});
        if (!c.args.as_json)
            c.out << std::setw(16) << host.name << std::setw(16) << host.data_centre << std::setw(8)
                  << (dump->ready ? "yes" : "no") << std::setw(10) << dump->revision << std::setw(8)
                  << serving << std::setw(8) << dump->open_jobs << std::setw(8)
                  << dump->queued_tasks << (dump->leaving ? "yes" : "no") << '\n';
    }
    if (c.args.as_json)
        c.out << json::serialize(lines) << '\n';
    return done;
}

// Returns the HTTP address of a host. A name with a colon is taken as IP:PORT; any other name is
// looked up in the platform's host list.
expected<std::string> resolve_address(const command_context& c, const std::string& name)
{
    if (name.find(':') != std::string::npos)
        return name;
    const auto listing = read_listing(c);
    if (!listing)
        return tl::make_unexpected(listing.error());
    for (const auto& host : listing->hosts)
        if (host.name == name)
            return host.http_address;
    return tl::make_unexpected(
        error{error_kind::not_found, "no host '" + name + "' is listed; see 'egretctl status'"});
}

int state(const command_context& c)
{
    const auto address = resolve_address(c, c.args.operand(0));
    if (!address)
        return print_error(c, address.error());
    const auto body = send_request(*address, "/statez", c.args.token);
    if (!body)
        return print_error(c, body.error());
    c.out << *body << '\n';
    return done;
}

int drain(const command_context& c)
{
    const auto address = resolve_address(c, c.args.operand(0));
    if (!address)
        return print_error(c, address.error());
    const auto body = send_request(*address, "/drain", c.args.token, "POST");
    if (!body)
        return print_error(c, body.error());
    c.out << c.args.operand(0) << " is stopping; it exits once its work is handed over\n";
    return done;
}

// Prints the answer of a job. Succeeds only if the job's outcome is `complete`.
int print_answer(const command_context& c, const expected<std::string>& body)
{
    if (!body)
        return print_error(c, body.error());
    c.out << *body << '\n';
    json::error_code code;
    const auto value = json::parse(*body, code);
    const bool complete = !code && value.is_object() && value.get_object().contains("outcome") &&
                          value.at("outcome") == "complete";
    return complete ? done : failed;
}

std::string generate_job_key(const std::string& data_centre)
{
    const auto now = read_clocks().wall.count();
    return data_centre + "." + std::to_string(now) + "." + random_id();
}

int make_key(const command_context& c)
{
    c.out << generate_job_key(c.args.operand(0)) << '\n';
    return done;
}

// Submits the job in the given file, or else a test job made from the options.
int submit(const command_context& c)
{
    const auto address = resolve_address(c, c.args.host);
    if (!address)
        return print_error(c, address.error());
    wire::Job job;
    job.set_service(c.args.service);
    job.set_deadline_ms(c.args.deadline_ms);
    for (std::uint32_t i = 0; i < c.args.tasks; ++i)
    {
        auto& task = *job.add_tasks();
        task.set_payload("task " + std::to_string(i));
        task.set_size_ms(c.args.size_ms);
    }
    std::string body = job_to_json(job);
    if (!c.args.operand(0).empty())
    {
        std::ifstream file(c.args.operand(0));
        std::ostringstream text;
        text << file.rdbuf();
        body = text.str();
    }
    return print_answer(c, send_request(*address, "/v1/jobs", c.args.token, "POST", body,
                                        c.args.key, milliseconds{c.args.timeout_ms}, true));
}

int query_or_cancel(const command_context& c, const std::string& method)
{
    const auto address = resolve_address(c, c.args.host);
    if (!address)
        return print_error(c, address.error());
    return print_answer(c, send_request(*address, "/v1/jobs/" + c.args.operand(0), c.args.token,
                                        method, {}, {}, milliseconds{c.args.timeout_ms}, true));
}
int query(const command_context& c)
{
    return query_or_cancel(c, "GET");
}
int cancel(const command_context& c)
{
    return query_or_cancel(c, "DELETE");
}

int schema(const command_context& c)
{
    c.out << schema_reference();
    return done;
}

int hash_token(const command_context& c)
{
    c.out << sha256_hex(c.args.operand(0)) << '\n';
    return done;
}

int make_keys(const command_context& c)
{
    constexpr std::size_t size = 41; // 40 characters of Z85 text and a terminating zero.
    std::array<char, size> public_key{};
    std::array<char, size> secret_key{};
    if (zmq_curve_keypair(public_key.data(), secret_key.data()) != 0)
        return print_error(
            c, {error_kind::internal, "this libzmq was built without CURVE; cannot make keys"});
    c.out << "curve_public: \"" << public_key.data() << "\"\ncurve_secret: \"" << secret_key.data()
          << "\"\n";
    return done;
}

constexpr std::array commands{
    command{"check", check, "DIR", "checks a set of objects and reports every fault",
            "egretctl check conf/"},
    command{"publish", publish, "DIR [--dry-run] [--wait] [--base N]",
            "publishes the difference from the set in force", "egretctl publish conf/ --wait"},
    command{"diff", diff, "DIR", "shows what publish would change", "egretctl diff conf/"},
    command{"history", history, "", "lists publications and their verdicts",
            "egretctl history --json"},
    command{"rollback", rollback, "REVISION", "publishes an earlier set as a new revision",
            "egretctl rollback 12 --wait"},
    command{"status", status, "", "shows every listed host", "egretctl status"},
    command{"state", state, "HOST", "prints a host's decision state",
            "egretctl state jaro-1 --token T"},
    command{"drain", drain, "HOST", "stops a host gracefully", "egretctl drain jaro-1 --token T"},
    command{"submit", submit, "[FILE] --host HOST --key KEY --service S [--tasks N]",
            "submits a job and prints its answer",
            "egretctl submit --host jaro-1 --key $(egretctl make-key jaro-depot) --service "
            "stock-check --token T"},
    command{"query", query, "KEY --host HOST", "prints the answer of a job",
            "egretctl query KEY --host jaro-1 --token T"},
    command{"cancel", cancel, "KEY --host HOST", "cancels a job",
            "egretctl cancel KEY --host jaro-1 --token T"},
    command{"make-key", make_key, "DATA_CENTRE", "makes a job key", "egretctl make-key jaro-depot"},
    command{"hash-token", hash_token, "TOKEN", "prints a token's SHA-256",
            "egretctl hash-token secret"},
    command{"make-keys", make_keys, "", "makes a CURVE key pair for connections to peers",
            "egretctl make-keys"},
    command{"schema", schema, "", "prints the reference of all objects and their fields",
            "egretctl schema"},
};

po::options_description options_for(arguments& args)
{
    po::options_description options("options");
    options.add_options()("help", "print this")("platform", po::value(&args.platform),
                                                "IP:PORT of the platform")(
        "host", po::value(&args.host), "name or IP:PORT of an entry host")(
        "token", po::value(&args.token), "team's or operator's token")("key", po::value(&args.key),
                                                                       "job key")(
        "author", po::value(&args.author),
        "author of the publication")("service", po::value(&args.service), "service of the job")(
        "base", po::value(&args.base), "revision that the change was made against")(
        "tasks", po::value(&args.tasks), "number of tasks")("size-ms", po::value(&args.size_ms),
                                                            "declared size of each task")(
        "deadline-ms", po::value(&args.deadline_ms), "deadline of the job")(
        "limit-ms", po::value(&args.timeout_ms), "time limit of the command")(
        "dry-run", po::bool_switch(&args.dry_run), "only show the difference")(
        "wait", po::bool_switch(&args.wait), "wait until in force on every listed host")(
        "json", po::bool_switch(&args.as_json), "print JSON");
    return options;
}

void print_help(std::ostream& out, const po::options_description& options)
{
    out << "egretctl COMMAND [options]\n\n";
    for (const auto& command : commands)
        out << "  " << std::left << std::setw(11) << command.name << std::setw(56) << command.usage
            << command.help << "\n             example: " << command.example << '\n';
    out << '\n'
        << options
        << "\nexit codes: 0 done, 1 failed, 2 wrong usage, 3 faults in the set, 4 the publication "
           "was not accepted, 5 time limit passed\n";
}

} // namespace

int run(const std::vector<std::string>& command_line, std::ostream& out, std::ostream& err)
{
    arguments args;
    auto options = options_for(args);
    po::options_description all;
    all.add(options).add_options()("command", po::value(&args.command))("operands",
                                                                        po::value(&args.operands));
    po::positional_options_description positions;
    positions.add("command", 1).add("operands", -1);
    po::variables_map values;
    try
    {
        po::store(po::command_line_parser(command_line).options(all).positional(positions).run(),
                  values);
        po::notify(values);
    }
    catch (const po::error& e)
    {
        err << e.what() << "; see 'egretctl --help'\n";
        return usage_error;
    }
    if (values.contains("help"))
    {
        print_help(out, options);
        return done;
    }
    const auto* found = std::find_if(commands.begin(), commands.end(),
                                     [&](const command& c) { return args.command == c.name; });
    if (found == commands.end())
    {
        err << "no command '" << args.command << "'; see 'egretctl --help'\n";
        return usage_error;
    }
    const bool needs_operand = found->usage[0] >= 'A' && found->usage[0] <= 'Z';
    if (needs_operand && args.operands.empty())
    {
        err << "egretctl " << found->name << ' ' << found->usage << '\n';
        return usage_error;
    }
    return found->run({args, out, err});
}

} // namespace egretledge::ctl
