#ifndef EGRETLEDGE_HARNESS_SCENARIO_HPP
#define EGRETLEDGE_HARNESS_SCENARIO_HPP

// Runs scripted scenarios: YAML files with a small system, a timeline of calls and faults, and what
// must be seen. docs/SCENARIOS.md describes the language; the verbs are the table in scenario.cpp.

#include "egretledge/types.hpp"
#include <string>
#include <vector>

namespace egretledge::harness
{

struct scenario_result
{
    std::string name;
    std::vector<std::string> failures; // empty if all expectations held
};

// Runs one file. A file that cannot be understood is a failure that says why.
scenario_result run_scenario(const std::string& path, bool trace = false);

} // namespace egretledge::harness

#endif
