// A table of commands, each a function with its own words. The publishing commands read the whole
// stream of publications and judge it with the same code as the hosts, so that "accepted" here
// means the same as there. An append whose answer is lost is never repeated: the stream is read
// until the publication's id shows up, or the time limit passes.

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

constexpr unsigned first_bad_status = 300;
constexpr std::chrono::milliseconds look_again{100};

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
    std::uint32_t limit_ms = 10000;
    bool dry_run = false;
    bool wait = false;
    bool as_json = false;

    const std::string& operand(std::size_t index) const
    {
        static const std::string none;
        return index < operands.size() ? operands[index] : none;
    }
};

struct console
{
    const arguments& given;
    std::ostream& out;
    std::ostream& err;
};

struct command
{
    const char* name;
    int (*run)(const console&);
    const char* words;
    const char* help;
    const char* example;
};

int complain(const console& c, const error& e)
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

expected<std::string> get(const std::string& address, const std::string& target,
                          const std::string& token = {}, const std::string& method = "GET",
                          std::string body = {}, const std::string& key = {},
                          milliseconds timeout = milliseconds{5000}, bool any_status = false)
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
    if (!any_status && reply->status >= first_bad_status)
        return tl::make_unexpected(error{
            error_kind::refused, "status " + std::to_string(reply->status) + ": " + reply->body});
    return std::move(reply->body);
}

// Everything that the stream of publications says.
expected<config_follower> read_publications(const arguments& given)
{
    config_follower reader;
    for (;;)
    {
        const auto from = reader.next_offset();
        const auto body =
            get(given.platform,
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

int print_faults(const console& c, const std::vector<config_fault>& faults)
{
    for (const auto& fault : faults)
        c.err << describe(fault) << '\n';
    c.err << faults.size() << " faults; nothing was published\n";
    return faulty_set;
}

int check(const console& c)
{
    const auto objects = load_directory(c.given.operand(0));
    if (!objects)
        return print_faults(c, objects.error());
    const auto built = build_configuration(*objects, 1);
    if (!built)
        return print_faults(c, built.error());
    c.out << objects->size() << " objects, " << built->executors.size() << " executors: good\n";
    return done;
}

expected<host_listing> read_listing(const console& c)
{
    const auto body = get(c.given.platform, "/v1/hosts");
    if (!body)
        return tl::make_unexpected(body.error());
    return listing_from_json(*body);
}

expected<node_dump> read_dump(const console& c, const listed_host& host)
{
    const auto body = get(host.http_address, "/statez", c.given.token);
    if (!body)
        return tl::make_unexpected(body.error());
    return dump_from_json(*body);
}

void print_difference(const console& c, const config_difference& change)
{
    for (const auto& object : change.changed)
        c.out << "+ " << object.kind << ' ' << object.name << ' ' << object.body << '\n';
    for (const auto& object : change.removed)
        c.out << "- " << object.kind << ' ' << object.name << '\n';
}

// Waits until every listed host has the revision in force.
int wait_in_force(const console& c, std::uint64_t revision,
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
            return late;
        }
        std::this_thread::sleep_for(look_again);
    }
}

// Appends once, then reads until the stream shows what became of it.
int append_and_follow(const console& c, const wire::LogRecord& record)
{
    const auto until =
        std::chrono::steady_clock::now() + std::chrono::milliseconds{c.given.limit_ms};
    const auto& id = record.publication().id();
    http_call call;
    call.address = c.given.platform;
    call.target = "/v1/streams/config/records";
    call.body = record.SerializeAsString();
    call.content_type = "application/octet-stream";
    const auto appended = http_send(std::move(call));
    if (!appended && appended.error().kind == error_kind::unreachable)
        return complain(c, appended.error());
    while (std::chrono::steady_clock::now() < until)
    {
        const auto reader = read_publications(c.given);
        for (const auto& seen : reader ? reader->history() : std::deque<evaluated_publication>{})
        {
            if (seen.id != id)
                continue;
            if (seen.verdict == publication_verdict::accepted)
            {
                c.out << "revision " << seen.revision << " accepted, publication " << id << '\n';
                return c.given.wait ? wait_in_force(c, seen.revision, until) : done;
            }
            c.err << "lost: " << boost::describe::enum_to_string(seen.verdict, "?") << ' '
                  << seen.detail;
            for (const auto& object : seen.objects)
                c.err << "; " << object;
            c.err << "; look at 'egretctl diff', then publish again\n";
            return clashed;
        }
        std::this_thread::sleep_for(look_again);
    }
    c.err << "publication " << id << " was not seen in the log within the limit; look for it with "
          << "'egretctl history' before publishing again\n";
    return late;
}

wire::LogRecord to_record(const console& c, const config_difference& change, std::uint64_t base)
{
    return make_publication(random_id(), c.given.author, base, change);
}

int publish(const console& c)
{
    const auto objects = load_directory(c.given.operand(0));
    if (!objects)
        return print_faults(c, objects.error());
    const auto built = build_configuration(*objects, 1);
    if (!built)
        return print_faults(c, built.error());
    const auto reader = read_publications(c.given);
    if (!reader)
        return complain(c, reader.error());
    const auto change = difference(objects_of(*reader), *objects);
    const auto base = c.given.base > 0 ? c.given.base : reader->revision();
    if (c.given.dry_run || change.empty())
    {
        print_difference(c, change);
        c.out << (change.empty() ? "no difference" : "dry run") << " against revision "
              << reader->revision() << '\n';
        return done;
    }
    return append_and_follow(c, to_record(c, change, base));
}

int diff(const console& c)
{
    const auto objects = load_directory(c.given.operand(0));
    if (!objects)
        return print_faults(c, objects.error());
    const auto reader = read_publications(c.given);
    if (!reader)
        return complain(c, reader.error());
    print_difference(c, difference(objects_of(*reader), *objects));
    return done;
}

int history(const console& c)
{
    const auto reader = read_publications(c.given);
    if (!reader)
        return complain(c, reader.error());
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
        if (!c.given.as_json)
            c.out << std::setw(8) << p.offset << std::setw(8) << p.revision << "  " << std::left
                  << std::setw(14) << verdict << std::setw(18) << p.id << p.author << ' '
                  << p.objects.size() << " objects " << p.detail << std::right << '\n';
    }
    if (c.given.as_json)
        c.out << json::serialize(lines) << '\n';
    return done;
}

// The set as of an earlier revision, from the whole stream.
expected<std::vector<config_object>> objects_at(const arguments& given, std::uint64_t revision)
{
    config_follower reader;
    for (;;)
    {
        const auto body =
            get(given.platform, "/v1/streams/config/records?from=" +
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

int rollback(const console& c)
{
    const auto revision = std::strtoull(c.given.operand(0).c_str(), nullptr, 10);
    const auto wanted = objects_at(c.given, revision);
    if (!wanted)
        return complain(c, wanted.error());
    const auto reader = read_publications(c.given);
    if (!reader)
        return complain(c, reader.error());
    const auto change = difference(objects_of(*reader), *wanted);
    print_difference(c, change);
    if (change.empty() || c.given.dry_run)
        return done;
    return append_and_follow(c, to_record(c, change, reader->revision()));
}

int status(const console& c)
{
    const auto listing = read_listing(c);
    if (!listing)
        return complain(c, listing.error());
    json::array lines;
    if (!c.given.as_json)
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
            if (!c.given.as_json)
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
        if (!c.given.as_json)
            c.out << std::setw(16) << host.name << std::setw(16) << host.data_centre << std::setw(8)
                  << (dump->ready ? "yes" : "no") << std::setw(10) << dump->revision << std::setw(8)
                  << serving << std::setw(8) << dump->open_jobs << std::setw(8)
                  << dump->queued_tasks << (dump->leaving ? "yes" : "no") << '\n';
    }
    if (c.given.as_json)
        c.out << json::serialize(lines) << '\n';
    return done;
}

// The HTTP address of a host that was named, or that --host gives.
expected<std::string> address_of(const console& c, const std::string& name)
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

int state(const console& c)
{
    const auto address = address_of(c, c.given.operand(0));
    if (!address)
        return complain(c, address.error());
    const auto body = get(*address, "/statez", c.given.token);
    if (!body)
        return complain(c, body.error());
    c.out << *body << '\n';
    return done;
}

int drain(const console& c)
{
    const auto address = address_of(c, c.given.operand(0));
    if (!address)
        return complain(c, address.error());
    const auto body = get(*address, "/drain", c.given.token, "POST");
    if (!body)
        return complain(c, body.error());
    c.out << c.given.operand(0) << " is stopping; it exits once its work is handed over\n";
    return done;
}

int print_answer(const console& c, const expected<std::string>& body)
{
    if (!body)
        return complain(c, body.error());
    c.out << *body << '\n';
    json::error_code code;
    const auto value = json::parse(*body, code);
    const bool complete = !code && value.is_object() && value.get_object().contains("outcome") &&
                          value.at("outcome") == "complete";
    return complete ? done : failed;
}

std::string make_key_text(const std::string& data_centre)
{
    const auto now = read_clocks().wall.count();
    return data_centre + "." + std::to_string(now) + "." + random_id();
}

int make_key(const console& c)
{
    c.out << make_key_text(c.given.operand(0)) << '\n';
    return done;
}

int submit(const console& c)
{
    const auto address = address_of(c, c.given.host);
    if (!address)
        return complain(c, address.error());
    wire::Job job;
    job.set_service(c.given.service);
    job.set_deadline_ms(c.given.deadline_ms);
    for (std::uint32_t i = 0; i < c.given.tasks; ++i)
    {
        auto& task = *job.add_tasks();
        task.set_payload("task " + std::to_string(i));
        task.set_size_ms(c.given.size_ms);
    }
    std::string body = job_to_json(job);
    if (!c.given.operand(0).empty())
    {
        std::ifstream file(c.given.operand(0));
        std::ostringstream text;
        text << file.rdbuf();
        body = text.str();
    }
    return print_answer(c, get(*address, "/v1/jobs", c.given.token, "POST", body, c.given.key,
                               milliseconds{c.given.limit_ms}, true));
}

int query_or_cancel(const console& c, const std::string& method)
{
    const auto address = address_of(c, c.given.host);
    if (!address)
        return complain(c, address.error());
    return print_answer(c, get(*address, "/v1/jobs/" + c.given.operand(0), c.given.token, method,
                               {}, {}, milliseconds{c.given.limit_ms}, true));
}
int query(const console& c)
{
    return query_or_cancel(c, "GET");
}
int cancel(const console& c)
{
    return query_or_cancel(c, "DELETE");
}

int schema(const console& c)
{
    c.out << schema_reference();
    return done;
}

int hash_token(const console& c)
{
    c.out << sha256_hex(c.given.operand(0)) << '\n';
    return done;
}

int make_keys(const console& c)
{
    constexpr std::size_t size = 41;
    std::array<char, size> public_key{};
    std::array<char, size> secret_key{};
    if (zmq_curve_keypair(public_key.data(), secret_key.data()) != 0)
        return complain(c, {error_kind::internal, "this libzmq has no CURVE"});
    c.out << "curve_public: \"" << public_key.data() << "\"\ncurve_secret: \"" << secret_key.data()
          << "\"\n";
    return done;
}

constexpr std::array commands{
    command{"check", check, "DIR", "checks a set of objects and reports every fault",
            "egretctl check conf/"},
    command{"publish", publish, "DIR [--dry-run] [--wait] [--base N]",
            "publishes the difference to what is in force", "egretctl publish conf/ --wait"},
    command{"diff", diff, "DIR", "shows what publish would change", "egretctl diff conf/"},
    command{"history", history, "", "lists publications and what became of them",
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
    command{"query", query, "KEY --host HOST", "asks what became of a job",
            "egretctl query KEY --host jaro-1 --token T"},
    command{"cancel", cancel, "KEY --host HOST", "cancels a job",
            "egretctl cancel KEY --host jaro-1 --token T"},
    command{"make-key", make_key, "DATA_CENTRE", "makes a job key", "egretctl make-key jaro-depot"},
    command{"hash-token", hash_token, "TOKEN", "prints a token's SHA-256",
            "egretctl hash-token secret"},
    command{"make-keys", make_keys, "", "makes a pair of keys for peers", "egretctl make-keys"},
    command{"schema", schema, "", "prints the reference of objects", "egretctl schema"},
};

po::options_description options_for(arguments& given)
{
    po::options_description options("options");
    options.add_options()("help", "print this")("platform", po::value(&given.platform),
                                                "IP:PORT of the platform")(
        "host", po::value(&given.host), "name or IP:PORT of an entry host")(
        "token", po::value(&given.token),
        "team's or operator's token")("key", po::value(&given.key), "job key")(
        "author", po::value(&given.author), "who publishes")("service", po::value(&given.service),
                                                             "service of the job")(
        "base", po::value(&given.base), "revision that the change was made against")(
        "tasks", po::value(&given.tasks), "number of tasks")("size-ms", po::value(&given.size_ms),
                                                             "declared size of each task")(
        "deadline-ms", po::value(&given.deadline_ms),
        "deadline of the job")("limit-ms", po::value(&given.limit_ms), "time limit of the command")(
        "dry-run", po::bool_switch(&given.dry_run), "only show the difference")(
        "wait", po::bool_switch(&given.wait), "wait until in force on every listed host")(
        "json", po::bool_switch(&given.as_json), "print JSON");
    return options;
}

void print_help(std::ostream& out, const po::options_description& options)
{
    out << "egretctl COMMAND [options]\n\n";
    for (const auto& command : commands)
        out << "  " << std::left << std::setw(11) << command.name << std::setw(56) << command.words
            << command.help << "\n             example: " << command.example << '\n';
    out << '\n'
        << options
        << "\nexit codes: 0 done, 1 failed, 2 wrong usage, 3 faults in the set, 4 the publication "
           "lost, 5 time limit passed\n";
}

} // namespace

int run(const std::vector<std::string>& words, std::ostream& out, std::ostream& err)
{
    arguments given;
    auto options = options_for(given);
    po::options_description all;
    all.add(options).add_options()("command", po::value(&given.command))(
        "operands", po::value(&given.operands));
    po::positional_options_description positions;
    positions.add("command", 1).add("operands", -1);
    po::variables_map values;
    try
    {
        po::store(po::command_line_parser(words).options(all).positional(positions).run(), values);
        po::notify(values);
    }
    catch (const po::error& e)
    {
        err << e.what() << "; see 'egretctl --help'\n";
        return wrong_usage;
    }
    if (values.contains("help"))
    {
        print_help(out, options);
        return done;
    }
    const auto* found = std::find_if(commands.begin(), commands.end(),
                                     [&](const command& c) { return given.command == c.name; });
    if (found == commands.end())
    {
        err << "no command '" << given.command << "'; see 'egretctl --help'\n";
        return wrong_usage;
    }
    const bool needs_operand = found->words[0] >= 'A' && found->words[0] <= 'Z';
    if (needs_operand && given.operands.empty())
    {
        err << "egretctl " << found->name << ' ' << found->words << '\n';
        return wrong_usage;
    }
    return found->run({given, out, err});
}

} // namespace egretledge::ctl
