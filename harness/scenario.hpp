#ifndef EGRETLEDGE_HARNESS_SCENARIO_HPP
#define EGRETLEDGE_HARNESS_SCENARIO_HPP

// Runs scripted scenarios: YAML files that describe a small system, a timeline of calls and faults,
// and the expected results. docs/SCENARIOS.md describes the language; the table in scenario.cpp
// lists the verbs.

#include "egretledge/types.hpp"
#include <string>
#include <vector>

namespace egretledge::harness
{

struct scenario_result
{
    std::string name;
    std::vector<std::string> failures; // empty if all expectations were met
};

// Runs one file. With `trace`, prints the hosts' log lines. A file that cannot be parsed gives a
// result with one failure that states the reason.
scenario_result run_scenario(const std::string& path, bool trace = false);

} // namespace egretledge::harness

#endif
