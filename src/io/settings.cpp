// A single table defines each setting: its name, unit, range and the member that holds its value.
// Parsing, the detection of unknown names and the output of the effective settings all use it.

#include "io/settings.hpp"
#include <algorithm>
#include <fstream>
#include <functional>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace egretledge
{

namespace
{

struct row
{
    const char* name;
    bool required;
    const char* remedy;
    std::function<bool(daemon_settings&, const std::string&)> store; // returns false if invalid
    std::function<std::string(const daemon_settings&)> show;
};

// Parses a decimal number of at most 12 digits. Returns false if it is malformed or out of range.
bool to_number(const std::string& text, std::uint64_t min_value, std::uint64_t max_value,
               std::uint64_t& value)
{
    if (text.empty() || text.size() > 12 ||
        !std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isdigit(c); }))
        return false;
    value = std::stoull(text);
    return value >= min_value && value <= max_value;
}

row text(const char* name, bool required, std::string daemon_settings::*member, const char* remedy)
{
    return {name, required, remedy,
            [member](daemon_settings& s, const std::string& value)
            {
                s.*member = value;
                return !value.empty();
            },
            [member](const daemon_settings& s) { return s.*member; }};
}

template <class Get>
row number(const char* name, std::uint64_t min_value, std::uint64_t max_value, const char* remedy,
           Get get)
{
    return {name, false, remedy,
            [=](daemon_settings& s, const std::string& value)
            {
                std::uint64_t parsed = 0;
                if (!to_number(value, min_value, max_value, parsed))
                    return false;
                using field = std::remove_reference_t<decltype(get(s))>;
                get(s) = static_cast<field>(parsed);
                return true;
            },
            [=](const daemon_settings& s)
            { return std::to_string(get(const_cast<daemon_settings&>(s))); }};
}

template <class Get>
row duration(const char* name, std::uint64_t min_ms, std::uint64_t max_ms, Get get)
{
    return {name, false, "a number of milliseconds with its unit, for example 250ms",
            [=](daemon_settings& s, const std::string& value)
            {
                std::uint64_t parsed = 0;
                if (!value.ends_with("ms") ||
                    !to_number(value.substr(0, value.size() - 2), min_ms, max_ms, parsed))
                    return false;
                get(s) = milliseconds{parsed};
                return true;
            },
            [=](const daemon_settings& s)
            { return std::to_string(get(const_cast<daemon_settings&>(s)).count()) + "ms"; }};
}

template <class Get>
row string(const char* name, const char* remedy, Get get, bool secret = false)
{
    return {name, false, remedy,
            [=](daemon_settings& s, const std::string& value)
            {
                get(s) = value;
                return true;
            },
            [=](const daemon_settings& s)
            {
                const auto& value = get(const_cast<daemon_settings&>(s));
                return secret && !value.empty() ? std::string("(set)") : value;
            }};
}

const std::vector<row>& rows()
{
    using S = daemon_settings;
    static const std::vector<row> table{
        text("name", true, &S::name, "name this host, as in the platform's list"),
        text("data_centre", true, &S::data_centre, "name a data_centre object"),
        text("platform", true, &S::platform, "IP:PORT of the platform"),
        string(
            "http_address", "an IP address", [](S & s) -> auto& { return s.http.address; }),
        number(
            "http_port", 0, 65535, "0 to 65535", [](S & s) -> auto& { return s.http.port; }),
        number(
            "http_body_limit", 1024, 1ULL << 30, "bytes, 1024 to 1073741824",
            [](S & s) -> auto& { return s.http.body_limit; }),
        number(
            "http_connections", 1, 1000000, "1 to 1000000",
            [](S & s) -> auto& { return s.http.max_connections; }),
        duration(
            "http_slow_limit", 100, 600000, [](S & s) -> auto& { return s.http.transfer_timeout; }),
        duration(
            "http_idle_limit", 100, 3600000, [](S & s) -> auto& { return s.http.idle_timeout; }),
        string(
            "http_certificate", "a PEM file",
            [](S & s) -> auto& { return s.http.certificate_file; }),
        string(
            "http_key", "a PEM file", [](S & s) -> auto& { return s.http.key_file; }),
        string(
            "peer_listen", "tcp://IP:PORT", [](S & s) -> auto& { return s.peers.listen; }),
        string(
            "curve_public", "40 characters; make keys with 'egretctl make-keys'",
            [](S & s) -> auto& { return s.peers.public_key; }),
        string(
            "curve_secret", "40 characters; make keys with 'egretctl make-keys'",
            [](S & s) -> auto& { return s.peers.secret_key; }, true),
        string(
            "operator_token_sha256", "64 hexadecimal digits; see 'egretctl hash-token'",
            [](S & s) -> auto& { return s.operator_token_sha256; }),
        number(
            "io_threads", 1, 64, "1 to 64", [](S & s) -> auto& { return s.io_threads; }),
        number(
            "worker_connections", 2, 64, "2 to 64",
            [](S & s) -> auto& { return s.worker_connections; }),
        number(
            "most_tasks", 1, 100000, "1 to 100000",
            [](S & s) -> auto& { return s.logic.jobs.max_tasks; }),
        number(
            "answer_bytes", 1 << 20, 1ULL << 40, "bytes, 1048576 or more",
            [](S & s) -> auto& { return s.logic.jobs.answer_bytes; }),
        duration(
            "key_window", 10000, 86400000, [](S & s) -> auto& { return s.logic.jobs.key_window; }),
        duration(
            "owner_lease", 1100, 60000, [](S & s) -> auto& { return s.logic.owners.lease; }),
        duration(
            "host_list_lag", 1000, 3600000,
            [](S & s) -> auto& { return s.logic.owners.host_list_lag; }),
        duration(
            "claim_refresh", 1000, 86400000,
            [](S & s) -> auto& { return s.logic.owners.claim_refresh; }),
        duration(
            "snapshot_every", 1000, 86400000,
            [](S & s) -> auto& { return s.logic.snapshot_interval; }),
        duration(
            "stop_limit", 100, 600000, [](S & s) -> auto& { return s.stop_timeout; }),
        string(
            "log_level", "debug, info, warning or error",
            [](S & s) -> auto& { return s.log_level; })};
    return table;
}

void read_peer_keys(const YAML::Node& node, daemon_settings& settings, std::string& faults)
{
    constexpr std::size_t key_size = 40;
    if (!node.IsMap())
    {
        faults += "peer_keys: a table of host names and public keys\n";
        return;
    }
    for (const auto& pair : node)
    {
        const auto host = pair.first.as<std::string>("");
        const auto key = pair.second.as<std::string>("");
        if (key.size() != key_size)
            faults += "peer_keys: " + host + ": a key has 40 characters\n";
        settings.peers.peer_keys[host] = key;
    }
}

// Checks the rules that concern several settings, and the values that a row cannot check.
void check_combinations(const daemon_settings& settings, std::string& faults)
{
    const bool pair = settings.http.certificate_file.empty() == settings.http.key_file.empty();
    if (!pair)
        faults += "http_certificate and http_key go together; give both\n";
    const bool any_key = !settings.peers.public_key.empty() || !settings.peers.secret_key.empty() ||
                         !settings.peers.peer_keys.empty();
    const bool all_keys = !settings.peers.public_key.empty() &&
                          !settings.peers.secret_key.empty() && !settings.peers.peer_keys.empty();
    if (any_key && !all_keys)
        faults += "curve_public, curve_secret and peer_keys go together; give all three\n";
    const bool level_known = settings.log_level == "debug" || settings.log_level == "info" ||
                             settings.log_level == "warning" || settings.log_level == "error";
    if (!level_known)
        faults += "log_level: debug, info, warning or error\n";
}

} // namespace

expected<daemon_settings> parse_settings(const std::string& source)
{
    daemon_settings settings;
    std::string faults;
    YAML::Node node;
    try
    {
        node = YAML::Load(source);
    }
    catch (const YAML::Exception& e)
    {
        return tl::make_unexpected(
            error{error_kind::bad_input, std::string("not YAML: ") + e.what()});
    }
    if (!node.IsMap())
        return tl::make_unexpected(
            error{error_kind::bad_input, "settings are a table of names and values"});
    for (const auto& setting : rows())
    {
        const auto value = node[setting.name];
        if (!value && setting.required)
            faults += std::string(setting.name) + ": missing; " + setting.remedy + '\n';
        if (value && (!value.IsScalar() || !setting.store(settings, value.Scalar())))
            faults += std::string(setting.name) + ": " + setting.remedy + '\n';
    }
    for (const auto& pair : node)
    {
        const auto name = pair.first.as<std::string>("");
        const bool known =
            name == "peer_keys" ||
            std::any_of(rows().begin(), rows().end(), [&](const row& r) { return name == r.name; });
        if (!known)
            faults += name + ": no such setting; see docs/SETTINGS.md\n";
    }
    if (node["peer_keys"])
        read_peer_keys(node["peer_keys"], settings, faults);
    check_combinations(settings, faults);
    if (!faults.empty())
        return tl::make_unexpected(error{error_kind::bad_input, faults});
    return settings;
}

expected<daemon_settings> load_settings(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return tl::make_unexpected(
            error{error_kind::not_found, path + ": cannot be read; name a settings file"});
    std::ostringstream source;
    source << file.rdbuf();
    return parse_settings(source.str());
}

std::string describe(const daemon_settings& settings)
{
    std::string out;
    for (const auto& setting : rows())
        out += std::string(setting.name) + ": \"" + setting.show(settings) + "\"\n";
    return out;
}

} // namespace egretledge
