#include "harness/seeds.hpp"
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <stdexcept>

namespace egretledge::harness
{

std::vector<std::uint64_t> failed_seeds(const std::string& kind)
{
    const std::string path = std::string(EGRETLEDGE_SOURCE_DIR) + "/tests/failed_seeds.txt";
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("cannot read " + path);
    std::vector<std::uint64_t> seeds;
    std::string line;
    while (std::getline(file, line))
    {
        if (line.empty() || line.front() == '#')
            continue;
        std::istringstream words(line);
        std::string seed_kind;
        std::uint64_t seed = 0;
        if (!(words >> seed_kind >> seed))
            throw std::runtime_error(path + ": expected a kind and a seed in the line: " + line);
        if (seed_kind == kind)
            seeds.push_back(seed);
    }
    return seeds;
}

std::uint64_t first_seed(std::uint64_t given)
{
    const auto first = given != 0 ? given : std::random_device{}() + 1ULL;
    std::cout << "first seed " << first << '\n';
    return first;
}

} // namespace egretledge::harness
