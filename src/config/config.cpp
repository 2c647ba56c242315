// Loads and validates sets of configuration objects.
//
// Each object kind has one field table. A row gives the field's name, type, allowed range, whether
// it is required, the object kind that it refers to, and the struct member that stores the value.
// Parsing, the checks of ranges and unknown names, and the schema reference all use the same
// tables, so that they cannot disagree. Faults are collected instead of thrown, so that an operator
// sees all of them in one run.
//
// An object's body is stored as flow-style YAML with its fields sorted by name. Files that differ
// only in the order and spacing of fields have equal bodies, and a difference shows only real
// changes.

#include "egretledge/config.hpp"
#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <functional>
#include <limits>
#include <sstream>
#include <variant>
#include <yaml-cpp/yaml.h>

namespace egretledge
{

namespace
{

constexpr double max_weight = 1e6;
constexpr std::uint64_t max_count = 1'000'000;
constexpr std::uint64_t max_shards = 4096;
constexpr std::uint64_t max_port = 65535;
constexpr std::uint64_t max_duration_ms = 24ULL * 3600 * 1000;
constexpr std::uint64_t max_bytes = 1ULL << 50;
constexpr std::size_t sha256_hex_digits = 64;

// How the text of a field is parsed; the names appear in the schema reference.
enum class field_type : std::uint8_t
{
    text,
    reference,
    count,
    duration,
    bytes,
    number,
    flag,
    sha256
};
BOOST_DESCRIBE_ENUM(field_type, text, reference, count, duration, bytes, number, flag, sha256)

template <class T>
using member = std::variant<std::string T::*, std::uint64_t T::*, double T::*, bool T::*>;

// One row of the field table of the objects of type T.
template <class T>
struct field
{
    const char* name;
    field_type kind;
    member<T> member_ptr;
    bool required;
    double min_value; // Inclusive, like max_value; durations are in ms.
    double max_value;
    object_kind refers_to; // Used by references only.
};

// The upper bound of fields that have none; the schema reference prints no range for it.
constexpr double unbounded = std::numeric_limits<double>::max();
// Placeholder in `refers_to` of fields that are not references; it is never read.
constexpr auto no_reference = object_kind::region;

const std::array<field<region_object>, 0> region_fields{};
const std::array data_centre_fields{
    field<data_centre_object>{"region", field_type::reference, &data_centre_object::region, true, 0,
                              unbounded, object_kind::region},
    field<data_centre_object>{"shards", field_type::count, &data_centre_object::shards, false, 1,
                              max_shards, no_reference}};
const std::array entry_host_fields{
    field<entry_host_object>{"data_centre", field_type::reference, &entry_host_object::data_centre,
                             true, 0, unbounded, object_kind::data_centre}};
const std::array policy_fields{
    field<policy_object>{"retry_limit", field_type::count, &policy_object::retry_limit, false, 0,
                         20, no_reference},
    field<policy_object>{"retry_budget", field_type::number, &policy_object::retry_budget, false, 0,
                         1, no_reference},
    field<policy_object>{"quarantine_after", field_type::count, &policy_object::quarantine_after,
                         false, 1, 5, no_reference},
    field<policy_object>{"quarantine_share", field_type::number, &policy_object::quarantine_share,
                         false, 0, 0.9, no_reference},
    field<policy_object>{"queue_ahead", field_type::count, &policy_object::queue_ahead, false, 0,
                         64, no_reference},
    field<policy_object>{"admission_wait", field_type::duration, &policy_object::admission_wait_ms,
                         false, 1, max_duration_ms, no_reference}};
const std::array executor_pool_fields{
    field<executor_pool_object>{"data_centre", field_type::reference,
                                &executor_pool_object::data_centre, true, 0, unbounded,
                                object_kind::data_centre},
    field<executor_pool_object>{"address", field_type::text, &executor_pool_object::address, true,
                                0, unbounded, no_reference},
    field<executor_pool_object>{"first_port", field_type::count, &executor_pool_object::first_port,
                                true, 1, max_port, no_reference},
    field<executor_pool_object>{"count", field_type::count, &executor_pool_object::count, false, 1,
                                max_count, no_reference},
    field<executor_pool_object>{"slots", field_type::count, &executor_pool_object::slots, false, 1,
                                4096, no_reference},
    field<executor_pool_object>{"connections", field_type::count,
                                &executor_pool_object::connections, false, 4, max_port,
                                no_reference},
    field<executor_pool_object>{"processors", field_type::number, &executor_pool_object::processors,
                                false, 0.1, 4096, no_reference},
    field<executor_pool_object>{"memory", field_type::bytes, &executor_pool_object::memory, true, 1,
                                max_bytes, no_reference},
    field<executor_pool_object>{"accelerators", field_type::count,
                                &executor_pool_object::accelerators, false, 0, 1024, no_reference},
    field<executor_pool_object>{"per_rack", field_type::count, &executor_pool_object::per_rack,
                                false, 1, max_count, no_reference}};
const std::array service_fields{
    field<service_object>{"repeatable", field_type::flag, &service_object::repeatable, true, 0,
                          unbounded, no_reference},
    field<service_object>{"run_time", field_type::duration, &service_object::run_time_ms, false, 1,
                          max_duration_ms, no_reference},
    field<service_object>{"deadline", field_type::duration, &service_object::deadline_ms, false, 1,
                          max_duration_ms, no_reference},
    field<service_object>{"processors", field_type::number, &service_object::processors, false, 0,
                          4096, no_reference},
    field<service_object>{"memory", field_type::bytes, &service_object::memory, false, 0, max_bytes,
                          no_reference},
    field<service_object>{"accelerators", field_type::count, &service_object::accelerators, false,
                          0, 1024, no_reference},
    field<service_object>{"policy", field_type::reference, &service_object::policy, false, 0,
                          unbounded, object_kind::policy}};
const std::array team_fields{field<team_object>{"weight", field_type::number, &team_object::weight,
                                                false, 0.001, max_weight, no_reference},
                             field<team_object>{"quota", field_type::count, &team_object::quota,
                                                true, 1, max_count, no_reference},
                             field<team_object>{"token_sha256", field_type::sha256,
                                                &team_object::token_sha256, true, 0, unbounded,
                                                no_reference}};

// A unit suffix and its factor to the stored unit (ms or bytes).
struct suffix
{
    std::string_view text;
    double factor;
};
constexpr std::array duration_suffixes{suffix{"ms", 1}, suffix{"s", 1000}, suffix{"m", 60000},
                                       suffix{"h", 3600000}};
constexpr std::array byte_suffixes{suffix{"KiB", 1024.0}, suffix{"MiB", 1024.0 * 1024},
                                   suffix{"GiB", 1024.0 * 1024 * 1024},
                                   suffix{"TiB", 1024.0 * 1024 * 1024 * 1024}, suffix{"B", 1}};

using faults = std::vector<config_fault>;

void add_fault(faults& out, const config_object& object, std::string message)
{
    out.push_back({object.file, object.line, object.kind + " " + object.name, std::move(message)});
}

// Returns the Levenshtein distance of the two strings.
std::size_t edit_distance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j)
        row[j] = j;
    for (std::size_t i = 1; i <= a.size(); ++i)
    {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j)
        {
            const std::size_t above = row[j];
            const std::size_t change = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            row[j] = std::min({change, above + 1, row[j - 1] + 1});
            diagonal = above;
        }
    }
    return row[b.size()];
}

std::string nearest_name(std::string_view wanted, const std::vector<std::string>& known)
{
    const auto best =
        std::min_element(known.begin(), known.end(),
                         [&](const auto& a, const auto& b)
                         { return edit_distance(a, wanted) < edit_distance(b, wanted); });
    return best == known.end() ? std::string{} : *best;
}

// Returns the end of an error message that suggests the known name closest to `wanted`. Without any
// known name it tells the operator to publish the missing object.
std::string hint(std::string_view wanted, const std::vector<std::string>& known)
{
    const auto name = nearest_name(wanted, known);
    return name.empty() ? std::string{"; publish it too"} : "; did you mean '" + name + "'?";
}

template <std::size_t N>
expected<double> parse_quantity(std::string_view text, const std::array<suffix, N>& suffixes,
                                const char* example)
{
    double value = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    const std::string_view rest{end, static_cast<std::size_t>(text.data() + text.size() - end)};
    for (const auto& row : suffixes)
        if (code == std::errc{} && rest == row.text)
            return value * row.factor;
    return tl::make_unexpected(error{
        error_kind::bad_input, "'" + std::string(text) + "' needs a unit, for example " + example});
}

expected<double> parse_number(std::string_view text)
{
    double value = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (code != std::errc{} || end != text.data() + text.size() || !std::isfinite(value))
        return tl::make_unexpected(
            error{error_kind::bad_input, "'" + std::string(text) + "' is not a number"});
    return value;
}

expected<double> parse_value(field_type kind, const std::string& text)
{
    if (kind == field_type::duration)
        return parse_quantity(text, duration_suffixes, "250ms");
    if (kind == field_type::bytes)
        return parse_quantity(text, byte_suffixes, "32GiB");
    if (kind == field_type::flag)
    {
        if (text == "true" || text == "false")
            return text == "true" ? 1.0 : 0.0;
        return tl::make_unexpected(
            error{error_kind::bad_input, "'" + text + "' is not true or false"});
    }
    auto value = parse_number(text);
    if (value && kind == field_type::count && *value != std::floor(*value))
        return tl::make_unexpected(
            error{error_kind::bad_input, "'" + text + "' is not a whole number"});
    return value;
}

bool is_sha256(const std::string& text)
{
    return text.size() == sha256_hex_digits &&
           std::all_of(text.begin(), text.end(),
                       [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

std::string range_text(double min_value, double max_value)
{
    std::ostringstream out;
    out << "allowed are " << min_value << " to " << max_value;
    return out.str();
}

// Parses a field's value into its member of `target`. Adds a fault if the value is invalid or out
// of range.
template <class T>
void store(const field<T>& row, T& target, const std::string& text, const config_object& object,
           faults& out)
{
    const std::string prefix = std::string("field '") + row.name + "': ";
    if (const auto* string_member = std::get_if<std::string T::*>(&row.member_ptr))
    {
        target.*(*string_member) = text;
        if (text.empty())
            add_fault(out, object, prefix + "must not be empty");
        if (row.kind == field_type::sha256 && !is_sha256(text))
            add_fault(out, object,
                      prefix + "needs 64 lower-case hexadecimal digits; make them "
                               "with 'egretctl hash-token'");
        return;
    }
    const auto value = parse_value(row.kind, text);
    if (!value)
        return add_fault(out, object, prefix + value.error().message);
    if (*value < row.min_value || *value > row.max_value)
        return add_fault(out, object,
                         prefix + text + " is out of range; " +
                             range_text(row.min_value, row.max_value));
    if (const auto* integer_member = std::get_if<std::uint64_t T::*>(&row.member_ptr))
        target.*(*integer_member) = static_cast<std::uint64_t>(*value);
    else if (const auto* double_member = std::get_if<double T::*>(&row.member_ptr))
        target.*(*double_member) = *value;
    else
        target.*(std::get<bool T::*>(row.member_ptr)) = *value != 0;
}

// Parses an object's body and adds a fault for each invalid, missing or unknown field. Throws
// YAML::Exception if the body is not YAML.
template <class T, class Fields>
T parse_object(const config_object& object, const Fields& fields, faults& out)
{
    T parsed;
    parsed.name = object.name;
    const YAML::Node body = YAML::Load(object.body);
    std::vector<std::string> known;
    for (const auto& row : fields)
    {
        known.emplace_back(row.name);
        const auto node = body[row.name];
        if (node && node.IsScalar())
            store(row, parsed, node.Scalar(), object, out);
        else if (node)
            add_fault(out, object, std::string("field '") + row.name + "': needs one plain value");
        else if (row.required)
            add_fault(out, object, std::string("field '") + row.name + "' is missing; add it");
    }
    for (const auto& pair : body)
    {
        const auto& name = pair.first.Scalar();
        if (std::find(known.begin(), known.end(), name) == known.end())
            add_fault(out, object, "unknown field '" + name + "'" + hint(name, known));
    }
    return parsed;
}

// Parses all objects of one kind into a map by name and reports duplicate names.
template <class T, class Fields>
void parse_objects_of_kind(object_kind kind, const std::vector<config_object>& objects,
                           const Fields& fields, std::map<std::string, T>& into, faults& out)
{
    for (const auto& object : objects)
    {
        if (object.kind != name_of(kind))
            continue;
        auto parsed = parse_object<T>(object, fields, out);
        if (!into.emplace(object.name, std::move(parsed)).second)
            add_fault(out, object, "the name is used twice; rename one of the two");
    }
}

using name_lists = std::map<object_kind, std::vector<std::string>>;

// Reports references to objects that do not exist. An empty reference counts as not set.
template <class T, class Fields>
void check_references(const std::map<std::string, T>& values, object_kind kind,
                      const Fields& fields, const std::vector<config_object>& objects,
                      const name_lists& names, faults& out)
{
    for (const auto& object : objects)
    {
        const auto value = values.find(object.name);
        if (object.kind != name_of(kind) || value == values.end())
            continue;
        for (const auto& row : fields)
        {
            if (row.kind != field_type::reference)
                continue;
            const auto& wanted = value->second.*std::get<std::string T::*>(row.member_ptr);
            const auto& known = names.at(row.refers_to);
            if (!wanted.empty() && std::find(known.begin(), known.end(), wanted) == known.end())
                add_fault(out, object,
                          std::string("field '") + row.name + "': no " +
                              std::string(name_of(row.refers_to)) + " is named '" + wanted + "'" +
                              hint(wanted, known));
        }
    }
}

// Creates the executors of each pool, numbered from 1, on consecutive ports.
void expand_executors(configuration& config)
{
    for (const auto& [name, pool] : config.executor_pools)
        for (std::uint64_t i = 0; i < pool.count; ++i)
            config.executors.push_back({name + "-" + std::to_string(i + 1),
                                        pool.address + ":" + std::to_string(pool.first_port + i),
                                        pool.data_centre,
                                        static_cast<std::uint32_t>(i / pool.per_rack),
                                        static_cast<std::uint32_t>(pool.slots),
                                        static_cast<std::uint32_t>(pool.connections),
                                        pool.processors, pool.memory, pool.accelerators});
}

// Returns the object with this kind and name, which must exist.
const config_object& object_of(const configuration& config, object_kind kind,
                               const std::string& name)
{
    const auto found = std::find_if(config.objects.begin(), config.objects.end(),
                                    [&](const config_object& o)
                                    { return o.kind == name_of(kind) && o.name == name; });
    return *found;
}

// Reports services that fit no executor, pools whose ports exceed 65535, and team quotas that
// exceed the slots of the largest data centre. Needs the expanded executors.
void check_capacity(const configuration& config, faults& out)
{
    for (const auto& [name, service] : config.services)
        if (std::none_of(config.executors.begin(), config.executors.end(),
                         [&needs = service](const executor& e) { return e.fits(needs); }))
            add_fault(out, object_of(config, object_kind::service, name),
                      "no executor has the processors, memory and accelerators it needs; lower its "
                      "needs or publish a larger pool");
    for (const auto& [name, pool] : config.executor_pools)
        if (pool.first_port + pool.count - 1 > max_port)
            add_fault(out, object_of(config, object_kind::executor_pool, name),
                      "first_port and count pass port 65535; split the pool over addresses");
    std::map<std::string, std::uint64_t> slots;
    for (const auto& executor : config.executors)
        slots[executor.data_centre] += executor.slots;
    std::uint64_t max_slots = 0;
    for (const auto& [centre, count] : slots)
        max_slots = std::max(max_slots, count);
    for (const auto& [name, team] : config.teams)
        if (team.quota > max_slots)
            add_fault(out, object_of(config, object_kind::team, name),
                      "quota " + std::to_string(team.quota) + " exceeds the " +
                          std::to_string(max_slots) +
                          " slots of the largest data centre; lower it or publish more executors");
}

void check_kinds(const std::vector<config_object>& objects, faults& out)
{
    std::vector<std::string> kinds;
    boost::mp11::mp_for_each<boost::describe::describe_enumerators<object_kind>>(
        [&](auto d) { kinds.emplace_back(d.name); });
    for (const auto& object : objects)
        if (std::find(kinds.begin(), kinds.end(), object.kind) == kinds.end())
            add_fault(out, object, "unknown kind '" + object.kind + "'" + hint(object.kind, kinds));
}

// Returns the document's fields without `kind` and `name` as flow-style YAML, sorted by name.
std::string canonical_body(const YAML::Node& document)
{
    std::map<std::string, YAML::Node> sorted;
    for (const auto& pair : document)
        if (pair.first.Scalar() != "kind" && pair.first.Scalar() != "name")
            sorted.emplace(pair.first.Scalar(), pair.second);
    YAML::Emitter emitter;
    emitter << YAML::Flow << YAML::BeginMap;
    for (const auto& [name, value] : sorted)
        emitter << YAML::Key << name << YAML::Value << value;
    emitter << YAML::EndMap;
    return emitter.c_str();
}

bool valid_name(const std::string& name)
{
    constexpr std::size_t max_name_length = 64;
    return !name.empty() && name.size() <= max_name_length &&
           std::all_of(name.begin(), name.end(),
                       [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_'; });
}

// Appends the document's object to `objects`. Adds a fault if the kind or name is missing or the
// name is invalid; the body's fields are checked later.
void read_document(const YAML::Node& document, const std::string& file,
                   std::vector<config_object>& objects, faults& out)
{
    if (document.IsNull())
        return;
    config_object object{"", "", "", file, document.Mark().line + 1};
    if (!document.IsMap())
        return add_fault(out, object, "a document needs fields 'kind' and 'name'");
    for (const auto& pair : document)
        if (!pair.first.IsScalar())
            return add_fault(out, object, "field names are plain words");
    const auto kind = document["kind"];
    const auto name = document["name"];
    if (!kind || !kind.IsScalar() || !name || !name.IsScalar())
        return add_fault(out, object, "a document needs fields 'kind' and 'name'");
    object.kind = kind.Scalar();
    object.name = name.Scalar();
    if (!valid_name(object.name))
        return add_fault(out, object, "a name has 1 to 64 letters, digits, '-' and '_'");
    object.body = canonical_body(document);
    objects.push_back(std::move(object));
}

// Writes the Markdown table of one kind's fields.
template <class Fields>
void describe_fields(std::ostringstream& out, object_kind kind, const Fields& fields)
{
    out << "## " << name_of(kind) << "\n\n| field | unit | required | range |\n|---|---|---|---|\n";
    for (const auto& row : fields)
    {
        out << "| " << row.name << " | " << boost::describe::enum_to_string(row.kind, "");
        if (row.kind == field_type::reference)
            out << " to " << name_of(row.refers_to);
        out << " | " << (row.required ? "yes" : "no") << " | ";
        if (row.max_value != unbounded)
            out << row.min_value << " to " << row.max_value;
        out << " |\n";
    }
    out << '\n';
}

// Returns the object with the same kind and name as `identity`, or null.
const config_object* find_object(const std::vector<config_object>& in,
                                 const config_object& identity)
{
    const auto found = std::find_if(in.begin(), in.end(),
                                    [&](const config_object& o)
                                    { return o.kind == identity.kind && o.name == identity.name; });
    return found == in.end() ? nullptr : &*found;
}

} // namespace

std::string_view name_of(object_kind value)
{
    return boost::describe::enum_to_string(value, "?");
}

std::string describe(const config_fault& fault)
{
    return fault.file + ":" + std::to_string(fault.line) + ": " + fault.object + ": " +
           fault.message;
}

bool executor::fits(const service_object& service) const
{
    return service.processors <= processors && service.memory <= memory &&
           service.accelerators <= accelerators;
}

const policy_object& configuration::policy_of(const service_object& service) const
{
    static const policy_object standard;
    const auto found = policies.find(service.policy);
    return found == policies.end() ? standard : found->second;
}

const team_object* configuration::team_of_token(std::string_view sha256_hex) const
{
    // Compares every team's whole hash, so that the time taken does not reveal how many digits
    // match.
    const team_object* match = nullptr;
    for (const auto& [name, team] : teams)
    {
        unsigned difference = team.token_sha256.size() == sha256_hex.size() ? 0U : 1U;
        for (std::size_t i = 0; i < std::min(sha256_hex.size(), team.token_sha256.size()); ++i)
            difference |= static_cast<unsigned char>(team.token_sha256[i]) ^
                          static_cast<unsigned char>(sha256_hex[i]);
        match = difference == 0 ? &team : match;
    }
    return match;
}

tl::expected<configuration, faults> build_configuration(std::vector<config_object> objects,
                                                        std::uint64_t revision)
{
    configuration config;
    config.revision = revision;
    config.objects = std::move(objects);
    faults out;
    const auto& all = config.objects;
    check_kinds(all, out);
    try
    {
        parse_objects_of_kind(object_kind::region, all, region_fields, config.regions, out);
        parse_objects_of_kind(object_kind::data_centre, all, data_centre_fields,
                              config.data_centres, out);
        parse_objects_of_kind(object_kind::entry_host, all, entry_host_fields, config.entry_hosts,
                              out);
        parse_objects_of_kind(object_kind::policy, all, policy_fields, config.policies, out);
        parse_objects_of_kind(object_kind::executor_pool, all, executor_pool_fields,
                              config.executor_pools, out);
        parse_objects_of_kind(object_kind::service, all, service_fields, config.services, out);
        parse_objects_of_kind(object_kind::team, all, team_fields, config.teams, out);
    }
    catch (const YAML::Exception& e)
    {
        out.push_back({"", 0, "", std::string("a body is not YAML: ") + e.what()});
        return tl::make_unexpected(std::move(out));
    }
    name_lists names;
    for (const auto& object : all)
        for (int i = 0; i <= static_cast<int>(object_kind::team); ++i)
            if (object.kind == name_of(static_cast<object_kind>(i)))
                names[static_cast<object_kind>(i)].push_back(object.name);
    for (int i = 0; i <= static_cast<int>(object_kind::team); ++i)
        names.try_emplace(static_cast<object_kind>(i));
    check_references(config.data_centres, object_kind::data_centre, data_centre_fields, all, names,
                     out);
    check_references(config.entry_hosts, object_kind::entry_host, entry_host_fields, all, names,
                     out);
    check_references(config.executor_pools, object_kind::executor_pool, executor_pool_fields, all,
                     names, out);
    check_references(config.services, object_kind::service, service_fields, all, names, out);
    if (out.empty())
    {
        expand_executors(config);
        check_capacity(config, out);
    }
    if (!out.empty())
        return tl::make_unexpected(std::move(out));
    return config;
}

tl::expected<std::vector<config_object>, faults> parse_objects(const std::string& text,
                                                               const std::string& file)
{
    std::vector<config_object> objects;
    faults out;
    try
    {
        for (const auto& document : YAML::LoadAll(text))
            read_document(document, file, objects, out);
    }
    catch (const YAML::Exception& e)
    {
        out.push_back({file, e.mark.line + 1, "", std::string("not valid YAML: ") + e.msg});
    }
    if (!out.empty())
        return tl::make_unexpected(std::move(out));
    return objects;
}

tl::expected<std::vector<config_object>, faults> load_directory(const std::string& directory)
{
    std::vector<std::filesystem::path> files;
    std::error_code failure;
    for (const auto& entry : std::filesystem::directory_iterator(directory, failure))
        if (entry.path().extension() == ".yaml")
            files.push_back(entry.path());
    if (failure || files.empty())
        return tl::make_unexpected(faults{
            {directory, 0, "",
             "the directory has no *.yaml files or cannot be read; name another directory"}});
    std::sort(files.begin(), files.end());
    std::vector<config_object> objects;
    faults out;
    for (const auto& path : files)
    {
        std::ifstream in(path);
        std::ostringstream text;
        text << in.rdbuf();
        auto parsed = parse_objects(text.str(), path.string());
        if (parsed)
            objects.insert(objects.end(), parsed->begin(), parsed->end());
        else
            out.insert(out.end(), parsed.error().begin(), parsed.error().end());
    }
    if (!out.empty())
        return tl::make_unexpected(std::move(out));
    return objects;
}

std::string schema_reference()
{
    std::ostringstream out;
    describe_fields(out, object_kind::region, region_fields);
    describe_fields(out, object_kind::data_centre, data_centre_fields);
    describe_fields(out, object_kind::entry_host, entry_host_fields);
    describe_fields(out, object_kind::policy, policy_fields);
    describe_fields(out, object_kind::executor_pool, executor_pool_fields);
    describe_fields(out, object_kind::service, service_fields);
    describe_fields(out, object_kind::team, team_fields);
    return out.str();
}

config_difference difference(const std::vector<config_object>& base,
                             const std::vector<config_object>& target)
{
    config_difference change;
    for (const auto& object : target)
    {
        const auto* old = find_object(base, object);
        if (old == nullptr || !old->same_content(object))
            change.changed.push_back(object);
    }
    for (const auto& object : base)
        if (find_object(target, object) == nullptr)
            change.removed.push_back(object);
    return change;
}

std::vector<config_object> apply(std::vector<config_object> base, const config_difference& change)
{
    const auto replaced = [&](const config_object& object)
    {
        return find_object(change.changed, object) != nullptr ||
               find_object(change.removed, object) != nullptr;
    };
    std::erase_if(base, replaced);
    base.insert(base.end(), change.changed.begin(), change.changed.end());
    std::sort(base.begin(), base.end(),
              [](const config_object& a, const config_object& b)
              { return std::tie(a.kind, a.name) < std::tie(b.kind, b.name); });
    return base;
}

} // namespace egretledge
