// egret-scenario runs scenario files and prints the expectations that were not met.
//
//     egret-scenario scenarios/*.yaml
//     egret-scenario --trace scenarios/03-owner-dies-during-run.yaml
//
// Exits with 0 if all expectations of all files were met, otherwise with 1.

#include "harness/scenario.hpp"
#include <iostream>
#include <string_view>

int main(int argc, char** argv)
{
    bool trace = false;
    bool all_passed = true;
    for (int i = 1; i < argc; ++i)
    {
        if (std::string_view(argv[i]) == "--trace")
        {
            trace = true;
            continue;
        }
        const auto result = egretledge::harness::run_scenario(argv[i], trace);
        std::cout << (result.failures.empty() ? "ok   " : "FAIL ") << argv[i] << ": " << result.name
                  << '\n';
        for (const auto& failure : result.failures)
            std::cout << "     " << failure << '\n';
        all_passed = all_passed && result.failures.empty();
    }
    return all_passed ? 0 : 1;
}
