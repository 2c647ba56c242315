#include "io/edge_settings.hpp"
#include <fstream>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace egretledge
{

namespace
{

// Larger limits than any host has are taken for mistakes, for example of the unit.
constexpr double max_processor = 1024;
constexpr double max_memory_mb = 16.0 * 1024 * 1024;
constexpr double max_link_mbps = 1e6;

// Reads settings and collects the faults, so that all are reported together.
class reader
{
public:
    explicit reader(const YAML::Node& root) : m_root(root) {}

    void text(const char* name, std::string& value, bool required)
    {
        const auto node = m_root[name];
        if (node && node.IsScalar())
            value = node.Scalar();
        else if (node)
            fault(name, "is not a scalar; write a text");
        if (required && value.empty())
            fault(name, "is missing; set it");
    }

    void address(const char* name, std::string& value, bool required)
    {
        text(name, value, required);
        if (value.empty())
            return;
        const auto without_scheme = value.starts_with("tcp://") ? value.substr(6) : value;
        if (const auto parsed = parse_ip_port(without_scheme); !parsed)
            fault(name, parsed.error().message);
    }

    template <class Number>
    void number(const char* name, Number& value, Number min, Number max)
    {
        const auto node = m_root[name];
        if (!node)
            return;
        Number parsed_value{};
        if (!YAML::convert<Number>::decode(node, parsed_value) || parsed_value < min ||
            parsed_value > max)
            return fault(name, "is not a number within its range; see docs/SETTINGS.md");
        value = parsed_value;
    }

    // Reads a duration that may be empty, which leaves `value` as it is. An unusable value is
    // replaced by `fallback`, and the replacement is appended to `replaced`.
    void optional_ms(const char* name, milliseconds& value, milliseconds fallback, std::int64_t min,
                     std::int64_t max, std::vector<std::string>& replaced)
    {
        const auto node = m_root[name];
        if (!node || node.IsNull() || (node.IsScalar() && node.Scalar().empty()))
            return;
        double parsed_value = 0;
        const bool usable = YAML::convert<double>::decode(node, parsed_value) &&
                            parsed_value >= static_cast<double>(min) &&
                            parsed_value <= static_cast<double>(max);
        value = usable ? milliseconds{static_cast<std::int64_t>(parsed_value)} : fallback;
        if (!usable)
            replaced.push_back(std::string("setting=") + name + " used=" +
                               std::to_string(fallback.count()) + " reason=\"not a number from " +
                               std::to_string(min) + " to " + std::to_string(max) + "\"");
    }

    void flag(const char* name, bool& value)
    {
        const auto node = m_root[name];
        if (node && !node.IsNull() && !YAML::convert<bool>::decode(node, value))
            fault(name, "is not true or false");
    }

    // Reads a limit of the host. One that is missing or not usable is no fault of the settings: the
    // host then serves with the default.
    void limit(const char* name, double max, double& value, edge_settings& settings)
    {
        const auto node = m_root[name];
        double parsed_value = 0;
        const char* reason = nullptr;
        if (!node)
            reason = "absent";
        else if (node.IsNull() || (node.IsScalar() && node.Scalar().empty()))
            reason = "empty";
        else if (!YAML::convert<double>::decode(node, parsed_value))
            reason = "not_a_number";
        else if (!(parsed_value > 0 && parsed_value <= max))
            reason = "out_of_range";
        if (reason == nullptr)
        {
            value = parsed_value;
            return;
        }
        settings.defaulted_limits +=
            (settings.defaulted_limits.empty() ? "" : ",") + std::string(name) + ":" + reason;
        settings.faulty_limits =
            settings.faulty_limits || (node && !node.IsNull() && reason != std::string("empty"));
    }

    void fault(const std::string& name, const std::string& problem)
    {
        m_faults += "'" + name + "' " + problem + "\n";
    }
    const std::string& faults() const { return m_faults; }

private:
    const YAML::Node& m_root;
    std::string m_faults;
};

} // namespace

expected<edge_settings> parse_edge_settings(const std::string& text)
{
    YAML::Node root;
    try
    {
        root = YAML::Load(text);
    }
    catch (const YAML::Exception& e)
    {
        return tl::make_unexpected(error{error_kind::bad_input, std::string("invalid YAML: ") +
                                                                    e.what() + "; correct it\n"});
    }
    if (!root.IsMap())
        return tl::make_unexpected(error{
            error_kind::bad_input, "the settings are not a map; write 'name: value' lines\n"});
    edge_settings settings;
    reader read(root);
    read.text("name", settings.name, true);
    read.text("data_centre", settings.data_centre, true);
    read.address("callers", settings.callers, true);
    read.address("readiness", settings.readiness, true);
    read.address("control", settings.control, false);
    read.address("metrics", settings.metrics, false);
    read.address("peers", settings.peers, true);
    read.address("store", settings.store, true);
    read.flag("first_start", settings.first_start);
    read.text("log_level", settings.log_level, false);
    read.number<std::uint32_t>("log_lines_per_s", settings.log_lines_per_s, 1, 100000);
    auto bound_ms = static_cast<std::uint32_t>(settings.config_bound.count());
    read.number<std::uint32_t>("config_bound_ms", bound_ms, 100, 600000);
    settings.config_bound = milliseconds{bound_ms};
    constexpr milliseconds default_evacuation_bound{5000};
    constexpr std::int64_t max_bound_ms = 600000;
    read.optional_ms("evacuation_bound_ms", settings.evacuation_bound, default_evacuation_bound,
                     100, max_bound_ms, settings.replaced);
    constexpr milliseconds default_max_lease{1000};
    read.optional_ms("max_lease_ms", settings.max_lease, default_max_lease, 100, max_bound_ms,
                     settings.replaced);
    double stop_s = static_cast<double>(settings.stop_timeout.count()) / 1000.0;
    read.number<double>("stop_limit_s", stop_s, 0.1, 3600);
    settings.stop_timeout = milliseconds{static_cast<std::int64_t>(stop_s * 1000)};
    read.limit("processor_share", max_processor, settings.processor_share, settings);
    read.limit("processor_speed", max_processor, settings.processor_speed, settings);
    read.limit("memory_mb", max_memory_mb, settings.memory_mb, settings);
    read.limit("link_mbps", max_link_mbps, settings.link_mbps, settings);
    if (const auto seeds = root["seeds"]; seeds && seeds.IsSequence())
        for (const auto& seed : seeds)
            if (seed.IsScalar() && parse_ip_port(seed.Scalar()))
                settings.seeds.push_back(seed.Scalar());
            else
                read.fault("seeds", "has an element that is not IP:PORT");
    if (!read.faults().empty())
        return tl::make_unexpected(error{error_kind::bad_input, read.faults()});
    return settings;
}

expected<edge_settings> load_edge_settings(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file)
        return tl::make_unexpected(
            error{error_kind::not_found, "cannot read " + path + "; name an existing file\n"});
    return parse_edge_settings(text.str());
}

} // namespace egretledge
