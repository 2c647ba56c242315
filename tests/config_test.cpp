#define BOOST_TEST_MODULE config
#include "egretledge/config.hpp"
#include <boost/test/unit_test.hpp>
#include <fstream>

using namespace egretledge;

namespace
{

const std::string valid_set = R"(kind: region
name: visayas-west
---
kind: data_centre
name: jaro-depot
region: visayas-west
---
kind: executor_pool
name: jaro
data_centre: jaro-depot
address: 127.0.0.1
first_port: 20000
count: 3
memory: 32GiB
---
kind: policy
name: quick
admission_wait: 2s
---
kind: service
name: stock-check
repeatable: true
run_time: 250ms
memory: 1GiB
policy: quick
---
kind: team
name: crews
quota: 8
token_sha256: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
)";

std::vector<config_object> objects_of(const std::string& text)
{
    auto parsed = parse_objects(text, "test.yaml");
    BOOST_REQUIRE(parsed);
    return *parsed;
}

// Returns the faults of the valid set with one more document.
std::vector<config_fault> faults_with(const std::string& document)
{
    const auto built = build_configuration(objects_of(valid_set + "---\n" + document), 1);
    return built ? std::vector<config_fault>{} : built.error();
}

bool mentions(const std::vector<config_fault>& faults, const std::string& text)
{
    for (const auto& fault : faults)
        if (describe(fault).find(text) != std::string::npos)
            return true;
    return false;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_valid_set_is_built_with_units_and_port_ranges)
{
    const auto built = build_configuration(objects_of(valid_set), 7);
    BOOST_REQUIRE(built);
    BOOST_TEST(built->revision == 7U);
    BOOST_TEST(built->services.at("stock-check").run_time_ms == 250U);
    BOOST_TEST(built->services.at("stock-check").memory == 1ULL << 30);
    BOOST_TEST(built->policies.at("quick").admission_wait_ms == 2000U);
    BOOST_REQUIRE_EQUAL(built->executors.size(), 3U);
    BOOST_TEST(built->executors[2].name == "jaro-3");
    BOOST_TEST(built->executors[2].address == "127.0.0.1:20002");
}

BOOST_AUTO_TEST_CASE(each_kind_of_fault_is_reported_with_its_remedy)
{
    struct row
    {
        const char* document;
        const char* message;
    };
    const row rows[] = {
        {"{kind: service, name: s, repeatable: maybe}", "is not true or false"},
        {"{kind: service, name: s, repeatable: true, policy: quik}", "did you mean 'quick'?"},
        {"{kind: service, name: s, repeatable: true, runtime: 5ms}", "did you mean 'run_time'?"},
        {"{kind: service, name: s, repeatable: true, run_time: 250}", "needs a unit"},
        {"{kind: service, name: s}", "field 'repeatable' is missing"},
        {"{kind: servise, name: s}", "did you mean 'service'?"},
        {"{kind: service, name: stock-check, repeatable: true}", "used twice"},
        {"{kind: data_centre, name: d, region: nowhere}", "no region is named 'nowhere'"},
        {"{kind: data_centre, name: d, region: visayas-west, shards: 0}", "out of range"},
        {"{kind: data_centre, name: d, region: visayas-west, shards: 1.5}", "whole number"},
        {"{kind: team, name: t, quota: 2, token_sha256: abc}", "64 lower-case hexadecimal"},
        {"{kind: service, name: s, repeatable: [1]}", "needs one plain value"},
    };
    for (const auto& r : rows)
        BOOST_TEST(mentions(faults_with(r.document), r.message), r.document);
}

BOOST_AUTO_TEST_CASE(a_set_that_exceeds_executor_capacity_is_refused)
{
    BOOST_TEST(mentions(faults_with("{kind: service, name: s, repeatable: true, memory: 64GiB}"),
                        "no executor has"));
    BOOST_TEST(
        mentions(faults_with("{kind: team, name: t, quota: 25, token_sha256: "
                             "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb}"),
                 "exceeds the 24 slots"));
}

BOOST_AUTO_TEST_CASE(all_faults_are_reported_in_one_run)
{
    const auto faults = faults_with("{kind: service, name: s, repeatable: maybe, policy: quik}\n"
                                    "---\n{kind: data_centre, name: d, region: nowhere}");
    BOOST_TEST(faults.size() == 3U);
    BOOST_TEST(mentions(faults, "test.yaml:"));
}

BOOST_AUTO_TEST_CASE(a_yaml_syntax_error_reports_file_and_line)
{
    const auto parsed = parse_objects("kind: region\nname: [", "broken.yaml");
    BOOST_REQUIRE(!parsed);
    BOOST_TEST(describe(parsed.error().front()).find("broken.yaml:") == 0U);
}

BOOST_AUTO_TEST_CASE(a_difference_applied_to_its_base_gives_the_target_set)
{
    auto base = objects_of(valid_set);
    auto target = objects_of(valid_set + "---\n{kind: region, name: dar-coast}");
    std::erase_if(target, [](const config_object& o) { return o.kind == "team"; });
    const auto change = difference(base, target);
    BOOST_TEST(change.changed.size() == 1U);
    BOOST_TEST(change.removed.size() == 1U);
    const auto result = egretledge::apply(base, change);
    BOOST_TEST(difference(result, target).empty());
    BOOST_TEST(difference(base, base).empty());
}

BOOST_AUTO_TEST_CASE(field_order_and_spacing_do_not_count_as_differences)
{
    const auto block_style = objects_of("kind: policy\nname: p\nretry_limit: 1\nretry_budget: 0.5");
    const auto flow_style =
        objects_of("{retry_budget:   0.5, name: p, retry_limit: 1, kind: policy}");
    BOOST_TEST(difference(block_style, flow_style).empty());
}

BOOST_AUTO_TEST_CASE(a_team_is_found_by_its_token_hash)
{
    const auto built = build_configuration(objects_of(valid_set), 1);
    const std::string token(64, 'a');
    BOOST_REQUIRE(built->team_of_token(token) != nullptr);
    BOOST_TEST(built->team_of_token(token)->name == "crews");
    BOOST_TEST(built->team_of_token("a") == nullptr);
    BOOST_TEST(built->team_of_token("") == nullptr);
}

BOOST_AUTO_TEST_CASE(the_reference_page_lists_every_kind_and_is_up_to_date)
{
    std::ifstream file(std::string(EGRETLEDGE_SOURCE_DIR) + "/docs/OBJECTS.md");
    const std::string page{std::istreambuf_iterator<char>(file), {}};
    BOOST_TEST(page.find(schema_reference()) != std::string::npos,
               "docs/OBJECTS.md must hold the output of 'egretctl schema'");
}
